// Package store keeps in memory the tickets that this process has issued and
// the outcome of each call that used one. A full store refuses new tickets
// rather than evict live ones, since a removed ticket can no longer tell
// whether its call ran. It has a lock, but no goroutines and no clock: the
// caller passes the time.
package store

// This file defines Store, which issues, claims and completes tickets.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// expiredRetention is how long an expired ticket is kept while the store has
// room, so that a late caller learns whether the ticket was used.
const expiredRetention = time.Minute

// evictInterval is the shortest time between two searches of a full store for
// expired tickets, each of which visits every ticket.
const evictInterval = time.Second

// Options are the limits of a store.
type Options struct {
	MaxTickets    int   // number of tickets held at once
	MaxBytes      int64 // total bytes of the outcomes held
	MaxReplyBytes int64 // bytes of one outcome
}

// Digest is a hash of a call's content. Two sends of the same call have the
// same digest.
type Digest [32]byte

// Store holds tickets by number. A ticket is never removed before it has
// expired, nor while its call is running. It is safe for concurrent use.
type Store struct {
	options Options

	mu           sync.Mutex
	lastNumber   uint64 // number of the newest ticket
	tickets      map[uint64]*ticket
	order        []uint64  // numbers of the tickets held, oldest first
	bytes        int64     // size of the outcomes held
	running      int       // claimed calls without an outcome
	lastEviction time.Time // time of the last call of removeExpired
}

type ticket struct {
	expiry    time.Time
	digest    Digest
	execution *Execution // nil while the ticket is unused
}

// New returns an empty store.
func New(o Options) *Store {
	return &Store{options: o, tickets: make(map[uint64]*ticket)}
}

// Issue adds a ticket and returns its number. In a full store it fails with the
// code TicketStoreFull.
func (s *Store) Issue(now, expiry time.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeOldest(now)
	if len(s.tickets) >= s.options.MaxTickets && now.Sub(s.lastEviction) >= evictInterval {
		s.removeExpired(now)
	}
	if len(s.tickets) >= s.options.MaxTickets {
		return 0, fault.New(code.TicketStoreFull, "%d tickets are held", len(s.tickets))
	}
	s.lastNumber++
	s.tickets[s.lastNumber] = &ticket{expiry: expiry}
	s.order = append(s.order, s.lastNumber)
	return s.lastNumber, nil
}

// Claim binds a ticket to the call that digest identifies. If first is true, the
// caller of Claim must run the call and then call Complete. A repeat of the same
// call gets the existing execution, even after the ticket has expired. The
// error is a *fault.Fault.
func (s *Store) Claim(number uint64, digest Digest, now time.Time) (x *Execution, first bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tickets[number]
	switch {
	case t == nil && number <= s.lastNumber:
		return nil, false, fault.New(code.TicketForgotten, "ticket %d", number)
	case t == nil:
		return nil, false, fault.New(code.TicketInvalid, "number %d was never issued", number)
	case t.execution != nil && t.digest != digest:
		return nil, false, fault.New(code.TicketReused, "for another call")
	case t.execution != nil:
		return t.execution, false, nil
	case hasExpired(t.expiry, now):
		return nil, false, fault.New(code.TicketExpired, "at %s", t.expiry.UTC().Format(time.RFC3339))
	}
	t.digest = digest
	t.execution = newExecution()
	s.running++
	return t.execution, true, nil
}

// Complete records the outcome of a claimed call and wakes everyone who waits
// for it. An outcome too large to keep reaches only them; later repeats of the
// call get the code ReplyDropped.
func (s *Store) Complete(number uint64, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tickets[number]
	t.execution.finish(o)
	s.running--
	size := o.size()
	if s.bytes+size > s.options.MaxBytes && now.Sub(s.lastEviction) >= evictInterval {
		s.removeExpired(now)
	}
	if size > s.options.MaxReplyBytes || s.bytes+size > s.options.MaxBytes {
		o = Outcome{Fault: fault.New(code.ReplyDropped, "%d bytes", size)}
		t.execution = newExecution()
		t.execution.finish(o)
	}
	s.bytes += o.size()
}

// Running returns the number of claimed calls without an outcome.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Unused returns the number of tickets that are neither claimed nor expired.
func (s *Store) Unused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.tickets {
		if t.execution == nil && !hasExpired(t.expiry, now) {
			n++
		}
	}
	return n
}

// Size returns the number of tickets and the bytes of outcomes held.
func (s *Store) Size() (tickets int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tickets), s.bytes
}

// removeOldest removes tickets from the oldest on, up to the first one that
// expired less than expiredRetention ago or whose call is still running.
func (s *Store) removeOldest(now time.Time) {
	n := 0
	for n < len(s.order) && s.isRemovable(s.order[n], now.Add(-expiredRetention)) {
		s.remove(s.order[n])
		n++
	}
	s.order = s.order[n:]
}

// removeExpired removes every expired ticket whose call is not running, without
// the retention time.
func (s *Store) removeExpired(now time.Time) {
	s.lastEviction = now
	var held []uint64
	for _, n := range s.order {
		if s.isRemovable(n, now) {
			s.remove(n)
		} else {
			held = append(held, n)
		}
	}
	s.order = held
}

// isRemovable reports whether a ticket has expired and its call is not running.
func (s *Store) isRemovable(number uint64, now time.Time) bool {
	t := s.tickets[number]
	return hasExpired(t.expiry, now) && (t.execution == nil || t.execution.isFinished())
}

func (s *Store) remove(number uint64) {
	if x := s.tickets[number].execution; x != nil {
		s.bytes -= x.outcome.size()
	}
	delete(s.tickets, number)
}

// hasExpired reports whether the expiry has passed by the monotonic clock or by
// the wall clock. Each of them can stand still while the process is suspended,
// the monotonic clock for example while the machine sleeps.
func hasExpired(expiry, now time.Time) bool {
	return !now.Before(expiry) || !now.Round(0).Before(expiry.Round(0))
}
