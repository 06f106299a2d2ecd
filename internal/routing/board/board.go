// Package board keeps what this instance knows of each endpoint: its own calls
// in flight, how recent calls went, the load that the endpoint reported, and
// the prompt prefixes that it is believed to hold. It has no goroutines and no
// clock.
package board

// This file defines Board.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

const shards = 32

// Board holds a Stat for each endpoint, in shards with a lock each.
type Board struct {
	shards  [shards]shard
	index   *prefix.Index
	leaving atomic.Pointer[map[string]bool]
}

type shard struct {
	mu   sync.Mutex
	rows map[string]*Row
}

// New returns an empty board.
func New() *Board {
	b := &Board{index: prefix.NewIndex()}
	for i := range b.shards {
		b.shards[i].rows = make(map[string]*Row)
	}
	return b
}

func (b *Board) shard(name string) *shard {
	return &b.shards[xxhash.Sum64String(name)%shards]
}

func (s *shard) row(name string) *Row {
	r := s.rows[name]
	if r == nil {
		r = &Row{mu: &s.mu}
		s.rows[name] = r
	}
	return r
}

// Row returns an endpoint's place, and makes one for an endpoint not seen before.
func (b *Board) Row(name string) *Row {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row(name)
}

// Get returns what is known of an endpoint.
func (b *Board) Get(name string) Stat { return b.Row(name).Get() }

// Start counts a call to an endpoint as in flight from now on.
func (b *Board) Start(name string, now time.Time) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row(name).start(now)
}

// Done ends a call that Start counted.
func (b *Board) Done(name string, r Result, now time.Time) {
	s := b.shard(name)
	s.mu.Lock()
	s.row(name).done(r, now)
	s.mu.Unlock()
	if r.Kind == 0 && len(r.Blocks) > 0 {
		b.index.Add(name, r.Blocks)
	}
}

// Report records the load that an endpoint reported. Reports older than the
// last one are ignored.
func (b *Board) Report(name string, l Load, now time.Time) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row(name).report(l, now)
}

// Cached records a cache event: the endpoint holds the blocks, or has dropped them.
func (b *Board) Cached(name string, blocks []uint64, drop bool) {
	if drop {
		b.index.Drop(name, blocks)
		return
	}
	b.index.Add(name, blocks)
}

// Holders fills held with the endpoints that are believed to hold the longest
// prefix of a prompt, and returns their number.
func (b *Board) Holders(blocks []uint64, held *[prefix.MostHeld]prefix.Held) int {
	return b.index.Find(blocks, held)
}

// SetLeaving replaces the set of endpoints that are leaving. The caller must
// not change the map afterwards.
func (b *Board) SetLeaving(names map[string]bool) { b.leaving.Store(&names) }

// Leaving reports whether an endpoint is leaving.
func (b *Board) Leaving(name string) bool {
	names := b.leaving.Load()
	return names != nil && (*names)[name]
}
