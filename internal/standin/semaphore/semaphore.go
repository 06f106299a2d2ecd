// Package semaphore limits the number of calls that run concurrently in a stand-in.
// Further calls wait, ordered by priority. Load reports are delayed, as those of real
// workers are.
package semaphore

// This file defines Semaphore.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/lagged"
)

// State holds the numbers of waiting and running calls.
type State struct {
	Waiting int
	Running int
}

// Semaphore assigns slots to calls by priority, then by order of arrival. It is safe
// for concurrent use.
type Semaphore struct {
	slots  int
	report *lagged.Lagged[State]

	mu      sync.Mutex
	state   State
	waiters []*waiter // highest priority first
}

type waiter struct {
	priority int
	ready    chan struct{} // closed when the waiter has got a slot
}

// New returns a semaphore with the given number of slots, at least 1. Its reports are
// delayed by lag.
func New(slots int, lag time.Duration) *Semaphore {
	return &Semaphore{slots: max(1, slots), report: lagged.New(lag, State{})}
}

// Size returns the number of calls that can run concurrently.
func (s *Semaphore) Size() int { return s.slots }

// Running returns the current number of running calls, without delay.
func (s *Semaphore) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Running
}

// Report returns the delayed state and its age.
func (s *Semaphore) Report() (State, time.Duration) { return s.report.Get(), s.report.Lag() }

// Acquire waits for a slot; calls with a higher priority value get one first. It
// reports whether it got a slot, which the caller must then release: false means that
// ctx ended first.
func (s *Semaphore) Acquire(ctx context.Context, priority int) bool {
	w := s.enter(priority)
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return s.leave(w)
	}
}

// enter adds a waiter behind those with the same or a higher priority.
func (s *Semaphore) enter(priority int) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.waiters)
	for i > 0 && s.waiters[i-1].priority < priority {
		i--
	}
	s.waiters = append(s.waiters[:i], append([]*waiter{w}, s.waiters[i:]...)...)
	s.state.Waiting++
	s.assign()
	return w
}

// leave removes a waiter. It reports true if the waiter has got a slot meanwhile.
func (s *Semaphore) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.waiters {
		if o == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.state.Waiting--
			s.report.Set(s.state)
			return false
		}
	}
	return true
}

// Release returns a slot.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Running--
	s.assign()
}

// assign gives the free slots to the first waiters. The caller holds s.mu.
func (s *Semaphore) assign() {
	for len(s.waiters) > 0 && s.state.Running < s.slots {
		w := s.waiters[0]
		s.waiters = s.waiters[1:]
		s.state.Waiting--
		s.state.Running++
		close(w.ready)
	}
	s.report.Set(s.state)
}
