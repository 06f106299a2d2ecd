// Package feed brings published tables into force: it watches the platform's
// manifest, hears of newer tables from peers, and fetches the objects it lacks,
// from a peer first.
package feed

// This file defines Feed and its main loop.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/offer"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
	"github.com/jacinthstile/jacinthstile/internal/table/store"
)

// roundGap is the least time between two tables that are put in force, so that
// a burst of changes costs few rounds.
const roundGap = 300 * time.Millisecond

// Feed keeps the holder's table at the newest that it hears of.
type Feed struct {
	source    reader.Source
	transport *transport.Transport
	members   *membership.Membership
	tables    *holder.Holder
	log       logr.Logger
	start     time.Duration
	reads     *rate.Limiter // of objects from the platform
	objects   *store.Store
	stats     counters

	born    time.Time
	wake    chan struct{} // an offer came
	raised  chan struct{} // a table was put in force
	greeted atomic.Bool   // the first exchange with peers is over
	failing atomic.Bool   // the last call of the platform failed
	refusal atomic.Pointer[string]
	clash   atomic.Pointer[string]

	mu       sync.Mutex
	offers   *offer.Set
	peers    map[string]*peer // by name
	current  []byte           // the manifest in force, as it was published
	digests  []string         // of the objects in force
	reading  *reading         // nil while none is read
	platform time.Time        // when the platform last answered; zero for never
	peered   time.Time        // when a peer was last heard; zero for never
}

// New returns a feed and registers its peer calls. Start is the longest time
// that Ready waits for the platform and the peers.
func New(
	source reader.Source, m *transport.Transport, members *membership.Membership, tables *holder.Holder,
	start time.Duration, log logr.Logger,
) *Feed {
	f := &Feed{
		source:    source,
		transport: m,
		members:   members,
		tables:    tables,
		log:       log,
		start:     start,
		reads:     rate.NewLimiter(slowRate, slowBurst),
		objects:   store.New(),
		born:      time.Now(),
		wake:      make(chan struct{}, 1),
		raised:    make(chan struct{}, 1),
		offers:    offer.New(),
		peers:     make(map[string]*peer),
	}
	m.Handle(method.Pulse, f.onPulse)
	m.Handle(method.Manifest, f.onManifest)
	m.Handle(method.Part, f.onPart)
	return f
}

// Refusal returns why the last table was refused, or "".
func (f *Feed) Refusal() string { return textOf(&f.refusal) }

// Conflict tells of two tables that were published under one pair (epoch,
// version), or is "". The one whose manifest has the greater digest is in force
// everywhere; publishing a higher version ends the conflict.
func (f *Feed) Conflict() string { return textOf(&f.clash) }

func textOf(p *atomic.Pointer[string]) string {
	if s := p.Load(); s != nil {
		return *s
	}
	return ""
}

// Heard returns when the platform and when any peer last answered or called,
// the zero time for never.
func (f *Feed) Heard() (platform, peers time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform, f.peered
}

// Ready reports whether a table is in force and is the newest that the platform
// and the peers told of, or the bounded wait for them is over.
func (f *Feed) Ready() bool {
	if f.tables.Current() == nil {
		return false
	}
	if time.Since(f.born) >= f.start {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.platform.IsZero() && f.greeted.Load() && !f.offers.Fresh(f.inForce())
}

func (f *Feed) inForce() revision.Revision {
	if s := f.tables.Current(); s != nil {
		return s.Revision()
	}
	return revision.Revision{}
}

// Run follows the platform and the peers until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { f.watch(ctx) })
	all.Go(func() { f.gossip(ctx) })
	for ctx.Err() == nil {
		f.mu.Lock()
		o, wait, ok := f.offers.Best(time.Now(), f.inForce())
		f.mu.Unlock()
		if ok {
			f.try(ctx, o)
			pause.For(ctx, roundGap)
			continue
		}
		f.sleep(ctx, wait)
	}
}

// sleep returns when an offer comes or after wait; zero waits for an offer only.
func (f *Feed) sleep(ctx context.Context, wait time.Duration) {
	var over <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-f.wake:
	case <-over:
	case <-ctx.Done():
	}
}

// refused is a table whose content may not be put in force, however often it is fetched.
type refused struct {
	at    revision.Revision
	cause error
}

// Error names the table and the cause.
func (r *refused) Error() string { return fmt.Sprintf("table %s: %v", r.at, r.cause) }

// Unwrap returns the cause.
func (r *refused) Unwrap() error { return r.cause }

// try puts an offer in force, or notes why that failed.
func (f *Feed) try(ctx context.Context, o offer.Offer) {
	err := f.round(ctx, o)
	if err == nil || errors.Is(err, errNewer) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var r *refused
	if errors.As(err, &r) {
		f.offers.Refuse(r.at)
		if r.at != o.At {
			f.offers.Failed(o.At, time.Now(), rand.Float64())
		}
		f.refuse(err)
		return
	}
	f.offers.Failed(o.At, time.Now(), rand.Float64())
	f.stats.failures.Add(1)
	f.log.V(1).Info("table not fetched", "table", o.At.String(), "reason", err.Error())
}

func (f *Feed) refuse(err error) {
	text := err.Error()
	f.refusal.Store(&text)
	f.stats.refusals.Add(1)
	f.log.Error(err, "table refused, the last good one stays in force", "in force", f.inForce().String())
}

// adopt puts a whole table in force and tells the peers.
func (f *Feed) adopt(m manifest.Manifest, data []byte) error {
	s, err := m.Join(f.objects, f.tables.Current())
	if err != nil {
		return &refused{at: m.Revision(), cause: err}
	}
	parts, err := m.Parts(f.objects)
	if err != nil {
		return &refused{at: m.Revision(), cause: err}
	}
	f.mu.Lock()
	f.current, f.digests = data, append(parts, m.Groups...)
	f.objects.Retain(time.Now(), f.digests)
	f.mu.Unlock()
	if !f.tables.Raise(s) {
		return nil
	}
	f.refusal.Store(nil)
	f.stats.rounds.Add(1)
	f.log.Info("table in force", "epoch", s.Epoch, "version", s.Version,
		"parts", len(parts), "endpoints", len(s.Endpoints), "accounts", len(s.Accounts))
	signal(f.raised)
	return nil
}

// offerFromPlatform notes a manifest that the platform gave. Stale ones change nothing.
func (f *Feed) offerFromPlatform(data []byte) {
	m, err := manifest.Parse(data)
	if err != nil {
		f.refuse(err)
		return
	}
	at := m.Revision()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.heardOf(at) {
		f.stats.stale.Add(1)
		return
	}
	f.offers.Platform(at, data, time.Now().Add(f.delay(at)))
	signal(f.wake)
}

// heardOf reports whether a table that was heard of stands after the one in
// force, and notes a conflict with it. The caller holds f.mu.
func (f *Feed) heardOf(at revision.Revision) bool {
	now := f.inForce()
	if at.Conflicts(now) {
		text := fmt.Sprintf("two tables were published under %s", at)
		if old := f.clash.Swap(&text); old == nil || *old != text {
			f.log.Error(errors.New(text), "publish a higher version to end the conflict")
		}
	} else if at.After(now) && at.String() != now.String() {
		f.clash.Store(nil)
	}
	return at.After(now)
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
