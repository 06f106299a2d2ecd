// Package instancelist watches the platform's list of instances and keeps the
// last valid version in memory. The list lags behind reality: package
// membership corrects it by direct observation. Reads don't block.
package instancelist

// This file defines Watcher.

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

const (
	longPollTimeout  = 30 * time.Second       // of one watch request
	minWatchInterval = time.Second            // between two versions of the list, jittered; limits the load of a list that changes often
	initialBackoff   = 500 * time.Millisecond // after the first failed watch, doubled at each further failure
	maxBackoff       = 15 * time.Second
)

// Watcher watches the list and holds its last valid version. It is safe for
// concurrent use.
type Watcher struct {
	source       configclient.Source
	log          logr.Logger
	snapshot     atomic.Pointer[snapshot]
	lastResponse atomic.Int64 // time of the platform's last successful response, in nanoseconds of the Unix epoch; 0 for none

	mu        sync.Mutex
	callbacks []func(*instance.List)
}

// snapshot is one version of the list and what is derived from it.
type snapshot struct {
	list    *instance.List
	leaving map[string]bool
}

// New returns a Watcher with an empty list. Run must be called to fill it.
func New(source configclient.Source, log logr.Logger) *Watcher {
	w := &Watcher{source: source, log: log}
	w.snapshot.Store(&snapshot{list: new(instance.List)})
	return w
}

// List returns the last valid list. The caller must not change it.
func (w *Watcher) List() *instance.List { return w.snapshot.Load().list }

// LeavingEndpoints returns the set of endpoints, by name, whose instance is
// leaving according to the platform. The caller must not change it.
func (w *Watcher) LeavingEndpoints() map[string]bool { return w.snapshot.Load().leaving }

// LastResponse returns the time of the platform's last successful response to a
// watch request, whether or not the list had changed, or the zero time if there
// was none.
func (w *Watcher) LastResponse() time.Time {
	if n := w.lastResponse.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// OnChange registers a function that is called with each list that is applied
// from now on. The function runs on the goroutine of Run, so it must return
// quickly.
func (w *Watcher) OnChange(f func(*instance.List)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks = append(w.callbacks, f)
}

// Run watches the list until ctx ends. It retries failed requests with a
// jittered exponential backoff.
func (w *Watcher) Run(ctx context.Context) {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		v, changed, err := w.source.Watch(ctx, instance.Key, version, longPollTimeout)
		if err != nil {
			w.log.V(1).Info("watching the instance list failed; retrying after a backoff", "error", err.Error())
			pause.For(ctx, backoff(failures))
			failures++
			continue
		}
		failures = 0
		w.lastResponse.Store(time.Now().UnixNano())
		if !changed {
			continue
		}
		version = v.Version
		if err := w.apply(v.Data); err != nil {
			w.log.Error(err, "instance list rejected; the last valid list stays in use", "version", v.Version)
		}
		pause.For(ctx, pause.Jitter(minWatchInterval))
	}
}

// apply replaces the current list. It rejects a malformed list, and an empty one
// after a list with instances.
func (w *Watcher) apply(data []byte) error {
	list := new(instance.List)
	if err := json.Unmarshal(data, list); err != nil {
		return fmt.Errorf("parsing instance list: %w", err)
	}
	if before := len(w.List().Instances); len(list.Instances) == 0 && before > 0 {
		return fmt.Errorf("reading instance list: got no instance, want at least one since the previous list had %d", before)
	}
	next := &snapshot{list: list, leaving: make(map[string]bool)}
	for _, i := range list.Instances {
		if !i.Entry && i.State == instance.Leaving {
			next.leaving[i.Name] = true
		}
	}
	w.snapshot.Store(next)
	w.mu.Lock()
	callbacks := w.callbacks
	w.mu.Unlock()
	for _, f := range callbacks {
		f(list)
	}
	return nil
}

// backoff returns the jittered time to wait after the given number of earlier
// consecutive failures.
func backoff(failures int) time.Duration {
	return pause.Jitter(min(initialBackoff<<min(failures, 10), maxBackoff))
}
