// Package queue provides the slots of a worker and the calls that wait for one.
package queue

// This file defines Queue.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/lagged"
)

// State is how many calls wait and run.
type State struct {
	Waiting int
	Running int
}

// Queue gives slots by priority, then by arrival.
type Queue struct {
	slots  int
	report *lagged.Lagged[State]

	mu      sync.Mutex
	state   State
	waiters []*waiter // highest priority first
}

type waiter struct {
	priority int
	given    chan struct{} // closed when the slot is given
}

// New returns a queue before slots that run at once. Reports lag behind by lag.
func New(slots int, lag time.Duration) *Queue {
	return &Queue{slots: max(1, slots), report: lagged.New(lag, State{})}
}

// Slots returns how many calls run at once.
func (q *Queue) Slots() int { return q.slots }

// Running returns how many calls run now.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Running
}

// Report returns the state as it was one lag ago, and that lag.
func (q *Queue) Report() (State, time.Duration) { return q.report.Get(), q.report.Lag() }

// Acquire waits for a slot. It reports false when ctx ended first.
func (q *Queue) Acquire(ctx context.Context, priority int) bool {
	w := q.enter(priority)
	select {
	case <-w.given:
		return true
	case <-ctx.Done():
		return q.leave(w)
	}
}

func (q *Queue) enter(priority int) *waiter {
	w := &waiter{priority: priority, given: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].priority < priority {
		i--
	}
	q.waiters = append(q.waiters[:i], append([]*waiter{w}, q.waiters[i:]...)...)
	q.state.Waiting++
	q.give()
	return w
}

// leave takes a waiter out. It reports true where a slot was given meanwhile.
func (q *Queue) leave(w *waiter) bool {
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

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.Running--
	q.give()
}

// give hands free slots to the first waiters. The lock is held.
func (q *Queue) give() {
	for len(q.waiters) > 0 && q.state.Running < q.slots {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		q.state.Waiting--
		q.state.Running++
		close(w.given)
	}
	q.report.Set(q.state)
}
