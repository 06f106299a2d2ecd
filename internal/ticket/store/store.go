// Package store holds the tickets that one start of a daemon issued, and the
// outcome of each call that used one. It has no goroutines and no clock.
package store

// This file defines Store: issuing, claiming and completing.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// keep is how long an expired ticket is remembered while there is room, so
// that a late caller learns whether it was used.
const keep = time.Minute

// evictEvery bounds how often a full store is searched for expired tickets.
const evictEvery = time.Second

// Options bounds what a store holds.
type Options struct {
	Tickets int   // tickets at once
	Bytes   int64 // bytes of all replies held
	Reply   int64 // bytes of one reply
}

// Digest identifies what a call asks for.
type Digest [32]byte

// Store holds tickets by number. A ticket that has not expired, or whose call
// is running, is never forgotten.
type Store struct {
	options Options

	mu      sync.Mutex
	last    uint64
	tickets map[uint64]*ticket
	order   []uint64 // numbers held, in the order of issue
	bytes   int64
	running int
	evicted time.Time // when evict ran last
}

type ticket struct {
	expiry time.Time
	digest Digest
	flight *Flight // nil while unused
}

// New returns an empty store.
func New(o Options) *Store {
	return &Store{options: o, tickets: make(map[uint64]*ticket)}
}

// Issue adds a ticket and returns its number.
func (s *Store) Issue(now, expiry time.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(now)
	if len(s.tickets) >= s.options.Tickets && now.Sub(s.evicted) >= evictEvery {
		s.evict(now)
	}
	if len(s.tickets) >= s.options.Tickets {
		return 0, fault.New(code.TicketStoreFull, "%d tickets are held", len(s.tickets))
	}
	s.last++
	s.tickets[s.last] = &ticket{expiry: expiry}
	s.order = append(s.order, s.last)
	return s.last, nil
}

// Claim binds a ticket to the call that digest identifies. The first claim
// must run the call and then Complete it; a repeat of the same call shares its
// flight. The error is a *fault.Fault.
func (s *Store) Claim(number uint64, digest Digest, now time.Time) (f *Flight, first bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tickets[number]
	switch {
	case t == nil && number <= s.last:
		return nil, false, fault.New(code.TicketForgotten, "ticket %d", number)
	case t == nil:
		return nil, false, fault.New(code.TicketInvalid, "number %d was never issued", number)
	case t.flight != nil && t.digest != digest:
		return nil, false, fault.New(code.TicketReused, "for another call")
	case t.flight != nil:
		return t.flight, false, nil
	case isOver(t.expiry, now):
		return nil, false, fault.New(code.TicketExpired, "at %s", t.expiry.UTC().Format(time.RFC3339))
	}
	t.digest = digest
	t.flight = newFlight()
	s.running++
	return t.flight, true, nil
}

// Complete ends a claimed call and hands its outcome to all that wait. A reply
// too large to hold is handed to those alone; later repeats get ReplyDropped.
func (s *Store) Complete(number uint64, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tickets[number]
	t.flight.end(o)
	s.running--
	size := o.size()
	if s.bytes+size > s.options.Bytes && now.Sub(s.evicted) >= evictEvery {
		s.evict(now)
	}
	if size > s.options.Reply || s.bytes+size > s.options.Bytes {
		o = Outcome{Fault: fault.New(code.ReplyDropped, "%d bytes", size)}
		t.flight = newFlight()
		t.flight.end(o)
	}
	s.bytes += o.size()
}

// Running returns how many claimed calls have no outcome yet.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Unused returns how many tickets may still be claimed.
func (s *Store) Unused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.tickets {
		if t.flight == nil && !isOver(t.expiry, now) {
			n++
		}
	}
	return n
}

// Held returns how many tickets and reply bytes are held.
func (s *Store) Held() (tickets int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tickets), s.bytes
}

// trim forgets the oldest tickets that expired longer than keep ago.
func (s *Store) trim(now time.Time) {
	n := 0
	for n < len(s.order) && s.isSpent(s.order[n], now.Add(-keep)) {
		s.forget(s.order[n])
		n++
	}
	s.order = s.order[n:]
}

// evict forgets every ticket that has expired and is not running.
func (s *Store) evict(now time.Time) {
	s.evicted = now
	var held []uint64
	for _, n := range s.order {
		if s.isSpent(n, now) {
			s.forget(n)
		} else {
			held = append(held, n)
		}
	}
	s.order = held
}

func (s *Store) isSpent(number uint64, now time.Time) bool {
	t := s.tickets[number]
	return isOver(t.expiry, now) && (t.flight == nil || t.flight.ended())
}

func (s *Store) forget(number uint64) {
	if f := s.tickets[number].flight; f != nil {
		s.bytes -= f.outcome.size()
	}
	delete(s.tickets, number)
}

// isOver reports whether expiry has come by the monotonic or by the wall
// clock, since either stands still through some kinds of pause.
func isOver(expiry, now time.Time) bool {
	return !now.Before(expiry) || !now.Round(0).Before(expiry.Round(0))
}
