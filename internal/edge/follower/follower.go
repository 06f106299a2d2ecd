// Package follower keeps the catalog and the fleet current from a store that
// can only be read and watched, and the proof that they are. It bears a store
// that is slow, silent, down, or forgets its history.
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
	watchWait   = 1200 * time.Millisecond // a proof is renewed this often; several fit the bound on revoked keys
	watchMargin = 900 * time.Millisecond  // beyond the wait, for a store that is slow
	probeWait   = time.Millisecond        // of the first watch after a failure, for a proof at once
	listLimit   = 3 * time.Second         // of a whole list, in pages
	watchGap    = 250 * time.Millisecond  // least time between two watches while changes come one after the other
	// toldGap is the least time between two watches of an instance whose witness
	// tells it of changes. There are many such instances; with the 0.3 s until the
	// witness is heard, and a store that answers in 0.3 s, a change is in force
	// within the 2 s that deployments allow.
	toldGap    = 600 * time.Millisecond
	trusted    = 1500 * time.Millisecond // age up to which a witness's proof stands in for a watch of its own
	leastPause = 100 * time.Millisecond  // before the store is asked again after a failure
	mostPause  = 500 * time.Millisecond
	// toldPause is the most while a witness is heard: what only this instance
	// reaches again is late by so much.
	toldPause = 1500 * time.Millisecond
)

// Follower follows one source. Run is called once.
type Follower struct {
	source  Source
	witness *witness.Witness
	proof   *proof.Proof
	fleet   *fleet.Fleet
	publish func(*catalog.Catalog)
	log     logr.Logger
	history *history.History // of the changes that are known, for others

	asked   time.Duration // when the source was last asked, by the proof's clock
	version uint64        // of the catalog in force
	at      uint64        // revision up to which changes are known
	known   atomic.Uint64 // the same, for others
	listed  bool          // whether at stands for a whole list
	lost    bool          // whether the last call failed
	since   time.Time     // of the loss
}

// New returns a follower that hands each catalog in force to publish. While
// the witness's proofs are young it only asks the source for changes of which
// the witness knows and does not tell.
func New(s Source, w *witness.Witness, p *proof.Proof, f *fleet.Fleet, publish func(*catalog.Catalog), log logr.Logger) *Follower {
	return &Follower{source: s, witness: w, proof: p, fleet: f, publish: publish, log: log, history: history.New()}
}

// Revision returns the revision up to which changes are known, once all before
// it are.
func (f *Follower) Revision() uint64 { return f.known.Load() }

// History returns the changes that are known, for others.
func (f *Follower) History() *history.History { return f.history }

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	wait := leastPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.sweep()
		if err == nil {
			wait = leastPause
			continue
		}
		f.fail(err)
		f.rest(ctx, wait)
		wait = min(mostPause, 2*wait)
	}
}

// rest waits before the source is asked again: for longer while a witness is
// heard that lost the source as well, since it tells when it is back.
func (f *Follower) rest(ctx context.Context, wait time.Duration) {
	if _, ok := f.witness.Last(); ok {
		wait = toldPause
	}
	timer := time.NewTimer(wait/2 + rand.N(wait/2))
	defer timer.Stop()
	for {
		select {
		case <-f.witness.News():
			if news, ok := f.witness.Last(); ok && f.proof.Now()-news.At <= trusted {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait, gap := watchWait, watchGap
	switch news, ok := f.witness.Last(); {
	case !ok || f.proof.Now()-news.At > trusted:
	case news.Revision <= f.at:
		f.regain("another instance knows that nothing changed")
		f.proof.Renew(news.At)
		f.idle(ctx)
		return nil
	case news.Told && news.After <= f.at:
		f.regain("another instance told the changes")
		f.take(news.Changes, news.Revision)
		f.proof.Renew(news.At)
		return nil
	default:
		wait, gap = probeWait, toldGap // the change is there already
	}
	err := f.watch(ctx, wait, gap)
	if errors.Is(err, ErrCompacted) {
		f.log.Info("history lost, listing again", "revision", f.at)
		f.listed = false
		return f.list(ctx)
	}
	return err
}

// idle waits for the witness's next proof, or until its last one is old.
func (f *Follower) idle(ctx context.Context) {
	timer := time.NewTimer(trusted)
	defer timer.Stop()
	select {
	case <-f.witness.News():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	asked := f.proof.Now()
	changes, at, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.regain("it answered")
	var endpoints []fleet.Endpoint
	for _, c := range changes {
		if r, ok := c.(change.Registered); ok {
			endpoints = append(endpoints, r.Endpoint)
			continue
		}
		f.apply(c)
	}
	f.fleet.Sync(endpoints, time.Now())
	f.log.Info("store listed", "revision", at, "endpoints", len(endpoints))
	f.at, f.listed = at, true
	f.history.Reset(at)
	f.known.Store(at)
	f.proof.Renew(asked)
	return nil
}

// watch asks for changes, at least gap after the source was asked before.
func (f *Follower) watch(ctx context.Context, wait, gap time.Duration) error {
	if f.lost {
		wait = probeWait
	}
	pause.For(ctx, f.asked+gap-f.proof.Now())
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	asked := f.proof.Now()
	f.asked = asked
	changes, at, err := f.source.Watch(ctx, f.at, wait)
	if err != nil {
		return err
	}
	f.regain("it answered")
	f.take(changes, at)
	// An answer without changes was given when the wait was over.
	if len(changes) == 0 && f.proof.Now()-asked >= wait {
		asked += wait
	}
	f.proof.Renew(asked)
	return nil
}

// take takes changes into force that came together and lead to a revision.
func (f *Follower) take(changes []change.Change, at uint64) {
	release := f.fleet.Hold()
	for _, c := range changes {
		f.apply(c)
	}
	release()
	f.history.Add(changes, at)
	f.at = max(f.at, at)
	f.known.Store(f.at)
}

// apply takes one change into force.
func (f *Follower) apply(c change.Change) {
	switch c := c.(type) {
	case change.Published:
		f.adopt(c.Catalog)
	case change.Registered:
		e := c.Endpoint
		f.log.Info("endpoint registered", "endpoint", e.ID, "service", e.Service, "state", e.State.String(), "born", e.Born)
		f.fleet.Put(e)
	case change.Unregistered:
		gone := f.fleet.Remove(c.ID, time.Now())
		f.log.Info("endpoint unregistered", "endpoint", c.ID, "gone", gone)
	case change.Unreadable:
		f.log.Info("entry ignored", "endpoint", c.Endpoint, "reason", c.Reason.Error(), "version", f.version)
		if c.Endpoint != "" {
			f.fleet.Remove(c.Endpoint, time.Now())
		}
	default:
		panic(fmt.Sprintf("follower: got change %T", c))
	}
}

// adopt takes a catalog into force. Versions only rise.
func (f *Follower) adopt(c *catalog.Catalog) {
	if c.Version <= f.version {
		return
	}
	f.log.Info("catalog in force", "version", c.Version, "before", f.version, "routes", len(c.Routes()))
	f.version = c.Version
	f.publish(c)
}

func (f *Follower) fail(err error) {
	if f.lost {
		return
	}
	f.lost, f.since = true, time.Now()
	f.fleet.Lose()
	age, _ := f.proof.Age()
	f.log.Error(err, "store out of reach", "proof", age.String())
}

func (f *Follower) regain(ground string) {
	if !f.lost {
		return
	}
	f.lost = false
	f.fleet.Regain(time.Now())
	f.log.Info("store reached again", "ground", ground, "after", time.Since(f.since).String())
}

func (f *Follower) sweep() {
	for _, id := range f.fleet.Tick(time.Now()) {
		f.log.Info("endpoint gone", "endpoint", id, "reason", "its registration did not come back")
	}
}
