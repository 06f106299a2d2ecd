// Package board keeps what this instance knows of each endpoint: its own calls
// in flight, and how recent calls went. It has no goroutines and no clock.
package board

// This file defines Board and Stat.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shards = 32

// Stat is what is known of one endpoint.
type Stat struct {
	InFlight int
	Latency  time.Duration // moving average of successful calls; zero until one is done
	Failures int           // failures since the last success
	Last     time.Time     // when the last call ended
}

// Board holds a Stat for each endpoint, in shards with a lock each.
type Board struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	stats map[string]*Stat
}

// New returns an empty board.
func New() *Board {
	b := new(Board)
	for i := range b.shards {
		b.shards[i].stats = make(map[string]*Stat)
	}
	return b
}

func (b *Board) shard(name string) *shard {
	return &b.shards[xxhash.Sum64String(name)%shards]
}

func (s *shard) stat(name string) *Stat {
	st := s.stats[name]
	if st == nil {
		st = new(Stat)
		s.stats[name] = st
	}
	return st
}

// Get returns what is known of an endpoint.
func (b *Board) Get(name string) Stat {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.stats[name]; st != nil {
		return *st
	}
	return Stat{}
}

// Start counts a call to an endpoint as in flight.
func (b *Board) Start(name string) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stat(name).InFlight++
}

// Done ends a call that Start counted.
func (b *Board) Done(name string, took time.Duration, ok bool, now time.Time) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stat(name)
	st.InFlight--
	st.Last = now
	if !ok {
		st.Failures++
		return
	}
	st.Failures = 0
	if st.Latency == 0 {
		st.Latency = took
		return
	}
	st.Latency += (took - st.Latency) / 8
}
