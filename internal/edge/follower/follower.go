// Package follower lists and watches the platform's metadata store. It keeps the
// catalog and the registered endpoints current, and records when they were last
// confirmed to be the newest. It takes changes from another instance where it can,
// so that many instances don't overload the store, and it tolerates a store that
// is slow, does not answer, is down or has compacted its history. The I/O is done
// by a Source that is passed in.
package follower

// This file defines Follower.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/proof"
	"github.com/jacinthstile/jacinthstile/internal/edge/witness"
)

const (
	// watchWait is how long a watch waits for a change. Each answer confirms that
	// the configuration is current, and several answers fit in the time within
	// which a revoked API key must stop working.
	watchWait     = 1200 * time.Millisecond
	watchMargin   = 900 * time.Millisecond // added to the wait of a watch for its timeout, for a slow store
	probeWait     = time.Millisecond       // wait of the first watch after a failure, which thus confirms the state at once
	listTimeout   = 3 * time.Second        // for all pages of a list
	watchInterval = 250 * time.Millisecond // minimum time between two watches, which combines changes in quick succession
	// reportedWatchInterval is the minimum time between two watches if another
	// instance reports that there are changes. Many instances are in this state at
	// the same time, so it is longer than watchInterval. With up to 0.3 s until the
	// report arrives and a store that answers in 0.3 s, a change is in force within
	// the 2 s that deployments allow.
	reportedWatchInterval = 600 * time.Millisecond
	maxReportAge          = 1500 * time.Millisecond // a report up to this age replaces a watch
	minRetryDelay         = 100 * time.Millisecond  // before the store is called again after a failure
	maxRetryDelay         = 500 * time.Millisecond
	// reportedRetryDelay is the delay before a retry while there is a report of
	// another instance, which also reports the end of an outage. If the store is
	// reachable again for this instance only, it notices up to this much later.
	reportedRetryDelay = 1500 * time.Millisecond
)

// Follower lists and watches one Source. Only Revision and History may be called
// while Run is running.
type Follower struct {
	source    Source
	peer      *witness.Witness // report of another instance
	freshness *proof.Proof
	registry  *fleet.Fleet
	publish   func(*catalog.Catalog)
	log       logr.Logger
	history   *history.History // changes that were applied, for other instances

	lastWatch        time.Duration // start of the last watch, by the clock of freshness
	version          uint64        // version of the catalog in force
	revision         uint64        // all changes up to this revision are applied
	sharedRevision   atomic.Uint64 // copy of revision for other goroutines
	listed           bool          // whether revision is based on a complete list
	unreachable      bool          // whether the last call to the store failed
	unreachableSince time.Time
}

// New returns a Follower that calls publish with each newer catalog and keeps f and
// p current. While w has a report that is at most maxReportAge old, the source is
// watched only for changes that the report announces but does not include.
func New(s Source, w *witness.Witness, p *proof.Proof, f *fleet.Fleet, publish func(*catalog.Catalog), log logr.Logger) *Follower {
	return &Follower{source: s, peer: w, freshness: p, registry: f, publish: publish, log: log, history: history.New()}
}

// Revision returns the revision up to which all changes are applied, and 0 before
// the first list. It is safe for concurrent use.
func (f *Follower) Revision() uint64 { return f.sharedRevision.Load() }

// History returns the recent changes, for other instances.
func (f *Follower) History() *history.History { return f.history }

// Run lists and watches the source until the context ends. It must be called only
// once.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.removeExpired()
		if err == nil {
			delay = minRetryDelay
			continue
		}
		f.setUnreachable(err)
		f.awaitRetry(ctx, delay)
		delay = min(maxRetryDelay, 2*delay)
	}
}

// awaitRetry waits a random time between delay/2 and delay before the next call to
// the store. If there is a report of another instance, it waits longer, but returns
// as soon as a report shows that the store is reachable for that instance.
func (f *Follower) awaitRetry(ctx context.Context, delay time.Duration) {
	if _, ok := f.peer.Last(); ok {
		delay = reportedRetryDelay
	}
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	for {
		select {
		case <-f.peer.News():
			if report, ok := f.peer.Last(); ok && f.freshness.Now()-report.At <= maxReportAge {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// step brings the state up to date once: by a list if there was none yet, by a
// recent report of another instance if that suffices, and by a watch otherwise.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait, interval := watchWait, watchInterval
	switch report, ok := f.peer.Last(); {
	case !ok || f.freshness.Now()-report.At > maxReportAge:
	case report.Revision <= f.revision:
		f.setReachable("another instance knows that nothing changed")
		f.freshness.Renew(report.At)
		f.awaitReport(ctx)
		return nil
	case report.Told && report.After <= f.revision:
		f.setReachable("another instance told the changes")
		f.applyAll(report.Changes, report.Revision)
		f.freshness.Renew(report.At)
		return nil
	default:
		wait, interval = probeWait, reportedWatchInterval // the store already has the change
	}
	err := f.watch(ctx, wait, interval)
	if errors.Is(err, ErrCompacted) {
		f.log.Info("history lost, listing again", "revision", f.revision)
		f.listed = false
		return f.list(ctx)
	}
	return err
}

// awaitReport waits for the next report of another instance, at most until the
// latest one is too old.
func (f *Follower) awaitReport(ctx context.Context) {
	timer := time.NewTimer(maxReportAge)
	defer timer.Stop()
	select {
	case <-f.peer.News():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list replaces the whole state by a list of the store.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := f.freshness.Now()
	changes, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.setReachable("it answered")
	var endpoints []fleet.Endpoint
	for _, c := range changes {
		if r, ok := c.(change.Registered); ok {
			endpoints = append(endpoints, r.Endpoint)
			continue
		}
		f.apply(c)
	}
	f.registry.Sync(endpoints, time.Now())
	f.log.Info("store listed", "revision", revision, "endpoints", len(endpoints))
	f.revision, f.listed = revision, true
	f.history.Reset(revision)
	f.sharedRevision.Store(revision)
	f.freshness.Renew(started)
	return nil
}

// watch waits for changes in the store and applies them. The call begins at least
// interval after the previous watch began.
func (f *Follower) watch(ctx context.Context, wait, interval time.Duration) error {
	if f.unreachable {
		wait = probeWait
	}
	pause.For(ctx, f.lastWatch+interval-f.freshness.Now())
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	confirmed := f.freshness.Now()
	f.lastWatch = confirmed
	changes, revision, err := f.source.Watch(ctx, f.revision, wait)
	if err != nil {
		return err
	}
	f.setReachable("it answered")
	f.applyAll(changes, revision)
	// An answer without changes was sent after the wait, so it confirms the state
	// at that time and not only at the start of the call.
	if len(changes) == 0 && f.freshness.Now()-confirmed >= wait {
		confirmed += wait
	}
	f.freshness.Renew(confirmed)
	return nil
}

// applyAll applies the changes that lead to a revision, and updates the registry
// once for all of them.
func (f *Follower) applyAll(changes []change.Change, revision uint64) {
	release := f.registry.Hold()
	for _, c := range changes {
		f.apply(c)
	}
	release()
	f.history.Add(changes, revision)
	f.revision = max(f.revision, revision)
	f.sharedRevision.Store(f.revision)
}

// apply applies one change.
func (f *Follower) apply(c change.Change) {
	switch c := c.(type) {
	case change.Published:
		f.applyCatalog(c.Catalog)
	case change.Registered:
		e := c.Endpoint
		f.log.Info("endpoint registered", "endpoint", e.ID, "service", e.Service, "state", e.State.String(), "born", e.Born)
		f.registry.Put(e)
	case change.Unregistered:
		gone := f.registry.Remove(c.ID, time.Now())
		f.log.Info("endpoint unregistered", "endpoint", c.ID, "gone", gone)
	case change.Unreadable:
		f.log.Info("entry ignored", "endpoint", c.Endpoint, "reason", c.Reason.Error(), "version", f.version)
		if c.Endpoint != "" {
			f.registry.Remove(c.Endpoint, time.Now())
		}
	default:
		panic(fmt.Sprintf("follower: got change of unknown type %T", c))
	}
}

// applyCatalog puts a catalog in force, unless its version is not newer than the one
// in force.
func (f *Follower) applyCatalog(c *catalog.Catalog) {
	if c.Version <= f.version {
		return
	}
	f.log.Info("catalog in force", "version", c.Version, "before", f.version, "routes", len(c.Routes()))
	f.version = c.Version
	f.publish(c)
}

// setUnreachable records that a call to the store failed.
func (f *Follower) setUnreachable(err error) {
	if f.unreachable {
		return
	}
	f.unreachable, f.unreachableSince = true, time.Now()
	f.registry.Lose()
	age, _ := f.freshness.Age()
	f.log.Error(err, "store out of reach", "proof", age.String())
}

// setReachable records that the state is confirmed again after a failed call, by an
// answer of the store or by a report. The log line gives the ground.
func (f *Follower) setReachable(ground string) {
	if !f.unreachable {
		return
	}
	f.unreachable = false
	f.registry.Regain(time.Now())
	f.log.Info("store reached again", "ground", ground, "after", time.Since(f.unreachableSince).String())
}

// removeExpired removes the endpoints that did not register again after an outage
// of the store.
func (f *Follower) removeExpired() {
	for _, id := range f.registry.Tick(time.Now()) {
		f.log.Info("endpoint gone", "endpoint", id, "reason", "its registration did not come back")
	}
}
