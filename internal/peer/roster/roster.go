// Package roster follows the platform's list of instances.
package roster

// This file defines Roster.

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
)

const (
	watchWait  = 30 * time.Second
	watchGap   = time.Second // least time between two lists that are read
	firstPause = 500 * time.Millisecond
	mostPause  = 15 * time.Second
)

// Roster holds the last good list that the platform gave.
type Roster struct {
	source reader.Source
	log    logr.Logger
	view   atomic.Pointer[view]
	heard  atomic.Int64 // when the platform last answered, in nanoseconds of the Unix epoch; 0 for never

	mu       sync.Mutex
	watchers []func(*instance.List)
}

// view is one list and what is worked out from it.
type view struct {
	list    *instance.List
	leaving map[string]bool
}

// New returns an empty roster.
func New(source reader.Source, log logr.Logger) *Roster {
	r := &Roster{source: source, log: log}
	r.view.Store(&view{list: new(instance.List)})
	return r
}

// List returns the last good list. It must not be changed.
func (r *Roster) List() *instance.List { return r.view.Load().list }

// Leaving returns the endpoints whose instance the platform says is leaving, by
// endpoint name. It must not be changed.
func (r *Roster) Leaving() map[string]bool { return r.view.Load().leaving }

// Heard returns when the platform last answered for the list, or the zero time.
func (r *Roster) Heard() time.Time {
	if n := r.heard.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Watch registers a function that is called with each list put in use from now
// on. It must return soon.
func (r *Roster) Watch(f func(*instance.List)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, f)
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		v, changed, err := r.source.Watch(ctx, instance.Key, version, watchWait)
		if err != nil {
			r.log.V(1).Info("instance list not read", "error", err.Error())
			pause.For(ctx, backoff(failures))
			failures++
			continue
		}
		failures = 0
		r.heard.Store(time.Now().UnixNano())
		if !changed {
			continue
		}
		version = v.Version
		if err := r.use(v.Data); err != nil {
			r.log.Error(err, "instance list refused, the last good one stays", "version", v.Version)
		}
		pause.For(ctx, pause.Jitter(watchGap))
	}
}

// use puts a list in use unless it is malformed, or empty after one that was not.
func (r *Roster) use(data []byte) error {
	list := new(instance.List)
	if err := json.Unmarshal(data, list); err != nil {
		return fmt.Errorf("parsing instance list: %w", err)
	}
	if before := len(r.List().Instances); len(list.Instances) == 0 && before > 0 {
		return fmt.Errorf("reading instance list: got no instance, want some after %d", before)
	}
	next := &view{list: list, leaving: make(map[string]bool)}
	for _, i := range list.Instances {
		if !i.Entry && i.State == instance.Leaving {
			next.leaving[i.Name] = true
		}
	}
	r.view.Store(next)
	r.mu.Lock()
	watchers := r.watchers
	r.mu.Unlock()
	for _, w := range watchers {
		w(list)
	}
	return nil
}

// backoff returns the pause after a number of failures in a row, jittered.
func backoff(failures int) time.Duration {
	return pause.Jitter(min(firstPause<<min(failures, 10), mostPause))
}
