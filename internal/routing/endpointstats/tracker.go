// Package endpointstats provides what this instance knows of each endpoint: its
// own calls in flight, the latency and failures of recent calls, the load that
// the endpoint reported, whether the endpoint is leaving, and the prompt
// prefixes that it is believed to have cached.
//
// The package does no I/O and starts no goroutines; callers pass the time.
package endpointstats

// This file defines Tracker.

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
)

const numShards = 32

// Tracker holds an Entry for each endpoint. Entries are spread over shards with a
// lock each to reduce contention. It is safe for concurrent use.
type Tracker struct {
	shards  [numShards]shard
	index   *prefix.Index
	leaving atomic.Pointer[map[string]bool]
	pauses  *cooldown.Tracker
	limits  *ratelimit.Tracker
	brittle *brittle.Tracker
	starts  *slowstart.Tracker
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*Entry
}

// New returns an empty tracker.
func New() *Tracker {
	t := &Tracker{index: prefix.NewIndex(), pauses: cooldown.New(), limits: ratelimit.New(), brittle: brittle.New(), starts: slowstart.New(rand.Uint64())}
	for i := range t.shards {
		t.shards[i].entries = make(map[string]*Entry)
	}
	return t
}

func (t *Tracker) shard(name string) *shard {
	return &t.shards[xxhash.Sum64String(name)%numShards]
}

func (s *shard) entry(name string) *Entry {
	e := s.entries[name]
	if e == nil {
		e = &Entry{mu: &s.mu}
		s.entries[name] = e
	}
	return e
}

// Entry returns an endpoint's entry, and creates it if there is none.
func (t *Tracker) Entry(name string) *Entry {
	s := t.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(name)
}

// Get returns a copy of an endpoint's statistics. They are zero but for Limit
// if the endpoint is not known.
func (t *Tracker) Get(name string) Stats { return t.Entry(name).Get() }

// Start counts a call to an endpoint as in flight from now on.
func (t *Tracker) Start(name string, now time.Time) {
	s := t.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(name).start(now)
	t.starts.Sent(name, now)
}

// Cancel records that a call which was to start at the given time was not sent after all.
func (t *Tracker) Cancel(name string, started, now time.Time) {
	e := t.Entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel(started, now)
}

// Done records the end of a call that Start counted.
func (t *Tracker) Done(name string, r Result, now time.Time) {
	s := t.shard(name)
	s.mu.Lock()
	s.entry(name).done(r, now)
	s.mu.Unlock()
	t.starts.Record(name, r.Kind, r.Elapsed, now)
	if r.Kind == 0 && len(r.Blocks) > 0 {
		t.index.Add(name, r.Blocks)
	}
}

// Report records the load that an endpoint reported. It ignores a report that
// describes an earlier time than the last one did.
func (t *Tracker) Report(name string, l Load, now time.Time) {
	s := t.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(name).report(l, now)
}

// RecordCacheEvent records that an endpoint has cached the prompt blocks or, if drop is
// set, that it has evicted them.
func (t *Tracker) RecordCacheEvent(name string, blocks []uint64, drop bool) {
	if drop {
		t.index.Remove(name, blocks)
		return
	}
	t.index.Add(name, blocks)
}

// Holders fills matches with the endpoints that are believed to have the longest
// prefix of a prompt cached, and returns their number. See prefix.Index.Find.
func (t *Tracker) Holders(blocks []uint64, matches *[prefix.MaxMatches]prefix.Match) int {
	return t.index.Find(blocks, matches)
}

// Cooldown returns the pauses that endpoints asked for.
func (t *Tracker) Cooldown() *cooldown.Tracker { return t.pauses }

// Limits returns the limits that endpoints named for all instances.
func (t *Tracker) Limits() *ratelimit.Tracker { return t.limits }

// Brittle returns the endpoints that fall over if they reject too many requests.
func (t *Tracker) Brittle() *brittle.Tracker { return t.brittle }

// SlowStarts returns the endpoints that start slowly.
func (t *Tracker) SlowStarts() *slowstart.Tracker { return t.starts }

// HasRoom reports whether this instance may send one more request to an endpoint of a service, which
// may be brittle.
func (t *Tracker) HasRoom(service, name string, now time.Time) bool {
	return t.brittle.HasRoom(service, name, t.Get(name).InFlight, now)
}

// SetLeaving replaces the set of endpoints that are leaving, which must get no
// new calls. The caller must not change the map afterwards.
func (t *Tracker) SetLeaving(names map[string]bool) { t.leaving.Store(&names) }

// Leaving reports whether an endpoint is leaving.
func (t *Tracker) Leaving(name string) bool {
	names := t.leaving.Load()
	return names != nil && (*names)[name]
}
