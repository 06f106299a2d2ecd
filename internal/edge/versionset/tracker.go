// Package versionset tracks the versions of its software that each service runs, or ran a short
// time ago. A stream whose origin no instance knows can go on only where one version has begun
// all streams that callers may take up.
//
// Callers pass the time in; the package does no I/O.
package versionset

// This file defines Tracker.

import (
	"maps"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const (
	// retention is how long a version counts after its last endpoint has gone: callers may
	// still take up its streams.
	retention = time.Minute
	// maxVersions bounds the versions that are kept for all services. With more of them no
	// service counts as having one version only.
	maxVersions = 1024
)

// Tracker knows the versions of the services. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	seen map[origin.Origin]time.Time // when an endpoint of the version was last registered
	live map[origin.Origin]bool      // versions of the endpoints that are registered now
	full time.Time                   // when a version was last left out
}

// New returns a tracker that knows no endpoint.
func New() *Tracker { return &Tracker{seen: make(map[origin.Origin]time.Time)} }

// Observe records the endpoints that are registered now.
func (t *Tracker) Observe(all []*registry.Endpoint, now time.Time) {
	live := make(map[origin.Origin]bool)
	for _, e := range all {
		live[origin.Origin{Service: e.Service, Version: e.Version}] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for o := range t.live {
		t.see(o, now)
	}
	for o := range live {
		t.see(o, now)
	}
	t.live = live
	maps.DeleteFunc(t.seen, func(o origin.Origin, at time.Time) bool { return !live[o] && now.Sub(at) > retention })
}

// Learn records a version that another instance last saw at the given time.
func (t *Tracker) Learn(o origin.Origin, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.seen[o]) {
		t.see(o, at)
	}
}

func (t *Tracker) see(o origin.Origin, at time.Time) {
	if _, known := t.seen[o]; !known && len(t.seen) >= maxVersions {
		t.full = at
		return
	}
	t.seen[o] = at
}

// Departed returns the versions that have no endpoint now but had one a short time ago, and
// when they were last seen.
func (t *Tracker) Departed(now time.Time) map[origin.Origin]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make(map[origin.Origin]time.Time)
	for o, at := range t.seen {
		if !t.live[o] && now.Sub(at) <= retention {
			list[o] = at
		}
	}
	return list
}

// Only returns the version of the service if it runs one, and ran no other one a short time
// ago. An endpoint of unknown version may be of any.
func (t *Tracker) Only(service string, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	version, found := "", 0
	for o, at := range t.seen {
		if o.Service == service && (t.live[o] || now.Sub(at) <= retention) {
			version = o.Version
			found++
		}
	}
	return version, found == 1 && version != "" && (t.full.IsZero() || now.Sub(t.full) > retention)
}
