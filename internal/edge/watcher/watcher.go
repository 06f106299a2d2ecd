// Package watcher lists and watches the platform's metadata store. It keeps the
// catalog and the registered endpoints current, and records when they were last
// confirmed to be the newest. It takes changes from another instance where it can,
// so that many instances don't overload the store, and it tolerates a store that
// is slow, does not answer, is down, has compacted its history or comes back from a
// copy some seconds old. The I/O is done by a Source that is passed in.
package watcher

// This file defines Watcher.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/drain"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/restore"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
)

const (
	// watchWait is how long a watch waits for a change. Each answer confirms that
	// the configuration is current, and several answers fit in the time within
	// which a revoked API key must stop working.
	watchWait = 1200 * time.Millisecond
	probeWait = time.Millisecond // wait of the first watch after a failure or after reports have ended, which thus confirms the state at once
	// callTimeout is the limit for all pages of a list, and for a watch. It allows for many
	// instances that list thousands of endpoints at the same moment, over the link of one
	// store, and for a large catalog over a slow link; the Source gives up earlier on an
	// answer that does not progress.
	callTimeout   = 15 * time.Second
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
	// another instance, which also reports the end of an outage. If the store becomes
	// reachable again for this instance only, it may take this long to notice.
	reportedRetryDelay = 1500 * time.Millisecond
	// peerTimeout is how long a starting instance waits at most to hear from another
	// one, which may know for how long the store has been in its era, or a version of the
	// catalog that the store has lost. It covers two polls of the seeds.
	peerTimeout = 600 * time.Millisecond
)

// Watcher lists and watches one Source. Only Status and History may be called while
// Run is running.
type Watcher struct {
	source    Source
	peer      *peerstatus.Latest // report of another instance
	freshness *freshness.Tracker
	registry  *registry.Registry
	versions  *versionset.Tracker
	publish   func(*catalog.Catalog)
	log       logr.Logger
	history   *history.History // changes that were applied, for other instances
	guard     *restore.Guard   // what answers of a restored store prove
	drains    *drain.Tracker
	restores  tally.Counter // returns of the store from a copy
	failures  tally.Counter // failed calls to the store
	lost      tally.Counter // times that the store was found to lack the newest version of the catalog
	drained   tally.Gauge   // number of drained data centres

	lastWatch        time.Duration     // start of the last watch, by the clock of freshness
	answeredAt       time.Duration     // when the store last answered this or another instance, by the same clock; zero if it did not
	version          uint64            // version of the catalog in force
	position         position.Position // all changes up to this position are applied
	status           atomic.Pointer[Status]
	listed           bool            // whether position is based on a complete list
	superseded       bool            // whether the last watch ended for news of another instance; the next one has a new connection
	reportedEra      uint64          // newest era that another instance had reported at the last list
	verdict          restore.Verdict // of the last answer of the store
	restoredAt       time.Duration   // when this instance itself saw the store come back from a copy; zero if it did not
	unreachable      bool            // whether the last call to the store failed
	unreachableSince time.Time
	failedCalls      int             // since unreachableSince
	drainedCentres   []string        // as the registry knows them
	ignored          map[string]bool // endpoints whose registrations cannot be decoded, until they can be or are removed
}

// New returns a Watcher that calls publish with each newer catalog and keeps r, v and
// t current. While peer has a report that is at most maxReportAge old, the source is
// watched only for changes that the report announces but does not include.
func New(s Source, peer *peerstatus.Latest, t *freshness.Tracker, r *registry.Registry, v *versionset.Tracker, publish func(*catalog.Catalog), log logr.Logger, scope tally.Scope) *Watcher {
	w := &Watcher{
		source: s, peer: peer, freshness: t, registry: r, versions: v, publish: publish, log: log, history: history.New(), guard: restore.New(), drains: drain.New(),
		verdict: restore.Proven, ignored: make(map[string]bool), restores: scope.Counter("store_restores"), failures: scope.Counter("store_call_failures"), lost: scope.Counter("catalog_versions_lost"),
		drained: scope.Gauge("drained_centres"),
	}
	w.status.Store(new(Status))
	return w
}

// Status returns what this instance knows of the store. It is safe for concurrent use.
func (w *Watcher) Status() Status { return *w.status.Load() }

// History returns the recent changes, for other instances.
func (w *Watcher) History() *history.History { return w.history }

// Run lists and watches the source until the context ends. It must be called only
// once.
func (w *Watcher) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := contain.Run(w.log, "step of the store's watcher", func() error { return w.step(ctx) })
		w.removeExpired()
		if err == nil {
			delay = minRetryDelay
			continue
		}
		w.setUnreachable(err)
		w.awaitRetry(ctx, delay)
		delay = min(maxRetryDelay, 2*delay)
	}
}

// awaitRetry waits a random time between delay/2 and delay before the next call to
// the store. If there is a report of another instance, it waits longer, but returns
// as soon as a report shows that the store is reachable for that instance.
func (w *Watcher) awaitRetry(ctx context.Context, delay time.Duration) {
	if _, ok := w.peer.Get(); ok {
		delay = reportedRetryDelay
	}
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	for {
		select {
		case <-w.peer.Updated():
			if report, ok := w.peer.Get(); ok && w.freshness.Now()-report.ConfirmedAt <= maxReportAge {
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
func (w *Watcher) step(ctx context.Context) error {
	w.checkEra()
	w.learnDrained()
	if !w.listed {
		return w.list(ctx)
	}
	wait, interval := watchWait, watchInterval
	switch report, ok := w.peer.Get(); {
	case !ok || w.freshness.Now()-report.ConfirmedAt > maxReportAge:
	case report.Position.Era != w.position.Era: // one of the two instances has not listed the newer era yet
	case w.position.Before(report.Position) && report.Complete && !report.DrainedUnknown && report.After.Compare(w.position) <= 0:
		w.setReachable("another instance told the changes", report.ConfirmedAt)
		w.applyAll(report.Changes, report.Position)
		if report.Version <= w.version { // a newer one comes with a watch
			w.confirm(report.ConfirmedAt, report.Version)
		}
		return nil
	case w.position.Before(report.Position):
		wait, interval = probeWait, reportedWatchInterval // the store already has the change
	case report.Version > w.version: // the store may have lost this version
	default:
		w.setReachable("another instance knows that nothing changed", report.ConfirmedAt)
		w.confirm(report.ConfirmedAt, report.Version)
		w.awaitReport(ctx)
		return nil
	}
	err := w.watch(ctx, wait, interval)
	if needsList(err) {
		w.log.Info("changes lost, listing again", "position", w.position.String(), "reason", err.Error())
		w.listed = false
		return w.list(ctx)
	}
	return err
}

// needsList reports whether the error of a watch means that the changes can't be had from it.
func needsList(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrNewEra) || errors.Is(err, ErrTooLong)
}

// awaitReport waits for the next report of another instance, at most until the
// latest one is too old or an endpoint expires.
func (w *Watcher) awaitReport(ctx context.Context) {
	timer := time.NewTimer(w.untilExpiry(maxReportAge))
	defer timer.Stop()
	select {
	case <-w.peer.Updated():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list replaces the whole state by a list of the store.
func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fleet := w.peer.Fleet()
	w.reportedEra = fleet.Era
	seen := w.source.NewestEra()
	started, startTime := w.freshness.Now(), time.Now()
	changes, at, err := w.source.List(ctx)
	if err != nil {
		return err
	}
	w.setReachable("it answered", w.freshness.Now())
	w.versions.Restart(startTime)
	first := !w.position.Known()
	endpoints := w.applyList(changes, at, !first && at.Era > w.position.Era)
	switch {
	case !first || at.Era == 0:
	case seen == at.Era:
		w.setBegan(started)
	default:
		w.setBegan(w.freshness.Now()) // the era may have begun during the call
	}
	w.log.Info("store listed", "position", at.String(), "endpoints", endpoints, "version", w.version)
	w.position, w.listed = at, true
	w.history.Reset(at)
	w.shareStatus()
	// A store that has never come back from a copy has lost nothing.
	if first && at.Era > 0 && w.awaitPeers(ctx).Version > w.version {
		return nil // the store is asked again, which then must have that version
	}
	w.confirm(started, fleet.Version)
	return nil
}

// applyList replaces the state by a list, updates the registry once and returns the number of endpoints.
func (w *Watcher) applyList(changes []change.Change, at position.Position, restored bool) int {
	release := w.registry.Hold()
	defer release()
	w.drains.List(changes, at, time.Now())
	w.updateDrained("the store was listed")
	var endpoints []registry.Endpoint
	for _, c := range changes {
		if r, ok := c.(change.Registered); ok {
			endpoints = append(endpoints, r.Endpoint)
			continue
		}
		w.apply(c)
	}
	if restored {
		w.setRestored(at)
		w.registry.SyncRestored(endpoints, time.Now())
	} else {
		w.registry.Sync(endpoints, time.Now())
	}
	return len(endpoints)
}

// watch waits for changes in the store and applies them. The call begins at least
// interval after the previous watch began.
func (w *Watcher) watch(ctx context.Context, wait, interval time.Duration) error {
	newest := w.peer.Fleet().Version
	wait, interval = w.limitWait(wait, interval, newest)
	pause.For(ctx, w.lastWatch+interval-w.freshness.Now())
	wait = max(w.untilExpiry(wait), probeWait)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	confirmed := w.freshness.Now()
	w.lastWatch = confirmed
	var news <-chan struct{}
	if wait > probeWait && !w.superseded { // else the call was made because of the news
		var stop func()
		news, stop = w.awaitNews(ctx)
		defer stop()
	}
	changes, at, err := w.source.Watch(ctx, news, w.position, wait)
	w.superseded = errors.Is(err, ErrSuperseded)
	switch {
	case w.superseded:
		w.log.Info("watch ended, another instance knows more", "position", w.position.String())
		return nil
	case err != nil:
		return err
	}
	w.setReachable("it answered", w.freshness.Now())
	w.applyAll(changes, at)
	// An answer without changes was sent after the wait, so it confirms the state
	// at that time and not only at the start of the call.
	if len(changes) == 0 && w.freshness.Now()-confirmed >= wait {
		confirmed += wait
	}
	if len(changes) > 0 && newest > w.version {
		return nil // further changes may follow
	}
	w.confirm(confirmed, newest)
	return nil
}

// limitWait returns the wait and the interval of the next watch. One that is to confirm the state as soon as possible, since
// nothing else has lately, is answered at once. newest is the newest version of the catalog that any instance has in force.
func (w *Watcher) limitWait(wait, interval time.Duration, newest uint64) (time.Duration, time.Duration) {
	_, known := w.freshness.ConfirmedAt()
	left := w.freshness.UntilExpected()
	switch {
	case newest > w.version:
		return probeWait, reportedWatchInterval
	case w.unreachable || !known && left == 0 || w.freshness.Now()-w.answeredAt > maxReportAge:
		return probeWait, interval
	case left > 0:
		return min(wait, max(left, probeWait)), interval // the first answer that counts comes as soon as it can
	default:
		return wait, interval
	}
}

// awaitNews returns a channel that is closed when another instance reports something newer than is applied here. The returned
// function ends that.
func (w *Watcher) awaitNews(ctx context.Context) (<-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(ctx)
	applied, version := w.position, w.version
	isNews := func() bool {
		report, ok := w.peer.Get()
		return ok && report.Position.Era == applied.Era && (applied.Before(report.Position) || report.Version > version)
	}
	news := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-w.peer.Updated():
				if isNews() {
					close(news)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	})
	return news, func() {
		cancel()
		wg.Wait()
	}
}

// applyAll applies the changes that lead to a position of the same era, and updates
// the registry once for all of them.
func (w *Watcher) applyAll(changes []change.Change, to position.Position) {
	release := w.registry.Hold()
	w.drains.Follow(changes, to)
	w.updateDrained("the store told")
	for _, c := range changes {
		w.apply(c)
	}
	release()
	w.history.Add(changes, to)
	if w.position.Before(to) {
		w.position = to
	}
	w.shareStatus()
}
