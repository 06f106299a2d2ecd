// Package lagged provides a value whose changes become visible to readers after a
// fixed delay. It simulates reports that are out of date.
package lagged

// This file defines Lagged.

import (
	"sync"
	"time"
)

// Lagged holds a value and its history over the lag. It is safe for concurrent use.
type Lagged[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	history []sample[T] // ordered by time; never empty
}

type sample[T any] struct {
	at    time.Time
	value T
}

// New returns a lagged value that readers see as first until a value that was set
// becomes visible.
func New[T any](lag time.Duration, first T) *Lagged[T] {
	return &Lagged[T]{lag: lag, history: []sample[T]{{value: first}}}
}

// Set sets the value. Get returns it once the lag has passed.
func (l *Lagged[T]) Set(v T) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, sample[T]{at: now, value: v})
	l.trim(now)
}

// Get returns the value that was current one lag ago.
func (l *Lagged[T]) Get() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(time.Now())
	return l.history[0].value
}

// Lag returns the delay after which Get returns a value that was set.
func (l *Lagged[T]) Lag() time.Duration { return l.lag }

// trim removes the versions older than the one that readers see. The caller holds
// l.mu.
func (l *Lagged[T]) trim(now time.Time) {
	visible := 0
	for i, m := range l.history {
		if m.at.Add(l.lag).After(now) {
			break
		}
		visible = i
	}
	l.history = l.history[visible:]
}
