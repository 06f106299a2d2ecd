// Package versionset tracks the versions of its software that each service runs, or ran a short
// time ago. A stream whose origin no instance knows can go on only where one version has begun
// all streams that callers may take up. What an instance has not seen proves nothing, so the
// package also tracks for how long the instance has seen every registration and every route.
//
// Callers pass the time in; the package does no I/O.
package versionset

// This file defines Tracker.

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const (
	// retention is how long callers may take up a stream after its first event. For that long a
	// version counts after its last endpoint has gone.
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

	since       time.Time // from which on no registration and no route was missed; zero before the first list
	routes      uint64    // hash of the stream routes in force
	routesKnown bool
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

// Register records an endpoint that was registered at some time since the last call. It may be
// gone by now, so that Observe never tells it.
func (t *Tracker) Register(e *registry.Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.see(origin.Origin{Service: e.Service, Version: e.Version}, now)
}

// Restart records that registrations before the given time may have been missed: the store was
// listed, and it lists no endpoint that has gone.
func (t *Tracker) Restart(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart(at)
}

func (t *Tracker) restart(at time.Time) {
	if at.After(t.since) {
		t.since = at
	}
}

// ObserveRoutes records the catalog that is in force from now on. A change of the services of
// streams is like a restart: earlier streams may have begun at another service.
func (t *Tracker) ObserveRoutes(c *catalog.Catalog, now time.Time) {
	routes := hashStreamRoutes(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routesKnown && routes == t.routes {
		return
	}
	t.routes, t.routesKnown = routes, true
	t.restart(now)
}

// hashStreamRoutes returns a hash of the services to which each stream route leads. It does not
// depend on the order of the routes.
func hashStreamRoutes(c *catalog.Catalog) uint64 {
	var sum uint64
	h := xxhash.New()
	for _, r := range c.Routes() {
		if r.Kind != catalog.Stream {
			continue
		}
		h.Reset()
		for _, field := range append([]string{r.Host, r.Prefix}, servicesOf(r)...) {
			if _, err := h.WriteString(field + "\x00"); err != nil {
				panic("versionset: hashing in memory: " + err.Error())
			}
		}
		sum += h.Sum64()
	}
	return sum
}

// servicesOf returns the services to which a route leads, sorted.
func servicesOf(r *catalog.Route) []string {
	var list []string
	for _, t := range r.Targets {
		list = append(list, t.Service)
	}
	slices.Sort(list)
	return slices.Compact(list)
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

// Only returns the version that began all streams of the route which callers may still take up, and
// false if there may have been several: the route leads to several services, the service ran
// another version within retention, or this instance has not watched it for so long. An endpoint of
// unknown version may be of any. The answer holds for streams that began before this instance's
// endpoints were last confirmed to be current.
func (t *Tracker) Only(r *catalog.Route, now time.Time) (string, bool) {
	services := servicesOf(r)
	if len(services) != 1 {
		return "", false
	}
	service := services[0]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() || now.Sub(t.since) < retention {
		return "", false
	}
	version, found := "", 0
	for o, at := range t.seen {
		if o.Service == service && (t.live[o] || now.Sub(at) <= retention) {
			version = o.Version
			found++
		}
	}
	return version, found == 1 && version != "" && (t.full.IsZero() || now.Sub(t.full) > retention)
}
