// Package queue limits the number of calls that run concurrently in a stand-in.
// Further calls wait, ordered by priority. Load reports are delayed, as those of real
// workers are.
package semaphore

// This file defines Queue.

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

// Semaphore assigns slots to calls by priority, then by order of arrival. It is safe for
// concurrent use.
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

// New returns a queue with the given number of slots, at least 1. Its reports are
// delayed by lag.
func New(slots int, lag time.Duration) *Semaphore {
	return &Semaphore{slots: max(1, slots), report: lagged.New(lag, State{})}
}

// Slots returns the number of calls that can run concurrently.
func (q *Semaphore) Slots() int { return q.slots }

// Running returns the current number of running calls, without delay.
func (q *Semaphore) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Running
}

// Report returns the delayed state and its age.
func (q *Semaphore) Report() (State, time.Duration) { return q.report.Get(), q.report.Lag() }

// Acquire waits for a slot; calls with a higher priority value get one first. It
// reports whether it got a slot, which the caller must then release: false means that
// ctx ended first.
func (q *Semaphore) Acquire(ctx context.Context, priority int) bool {
	w := q.enter(priority)
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return q.leave(w)
	}
}

// enter adds a waiter behind those with the same or a higher priority.
func (q *Semaphore) enter(priority int) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].priority < priority {
		i--
	}
	q.waiters = append(q.waiters[:i], append([]*waiter{w}, q.waiters[i:]...)...)
	q.state.Waiting++
	q.assign()
	return w
}

// leave removes a waiter. It reports true if the waiter has got a slot meanwhile.
func (q *Semaphore) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			q.state.Waiting--
			q.report.Set(q.state)
			return false
		}
	}
	return true
}

// Release returns a slot.
func (q *Semaphore) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.Running--
	q.assign()
}

// assign gives the free slots to the first waiters. The caller holds q.mu.
func (q *Semaphore) assign() {
	for len(q.waiters) > 0 && q.state.Running < q.slots {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		q.state.Waiting--
		q.state.Running++
		close(w.ready)
	}
	q.report.Set(q.state)
}
