// Package lagged provides a value that readers see some time after it was set.
package lagged

// This file defines Lagged.

import (
	"sync"
	"time"
)

// Lagged holds a value and as much of its history as the lag needs.
type Lagged[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	history []moment[T] // in the order of time; never empty
}

type moment[T any] struct {
	at    time.Time
	value T
}

// New returns a lagged value that has been first for ever.
func New[T any](lag time.Duration, first T) *Lagged[T] {
	return &Lagged[T]{lag: lag, history: []moment[T]{{value: first}}}
}

// Set changes the value.
func (l *Lagged[T]) Set(v T) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, moment[T]{at: now, value: v})
	l.trim(now)
}

// Get returns the value as it was one lag ago.
func (l *Lagged[T]) Get() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(time.Now())
	return l.history[0].value
}

// Lag returns how old the values are that Get returns.
func (l *Lagged[T]) Lag() time.Duration { return l.lag }

// trim drops what is older than the value that readers see.
func (l *Lagged[T]) trim(now time.Time) {
	seen := 0
	for i, m := range l.history {
		if m.at.Add(l.lag).After(now) {
			break
		}
		seen = i
	}
	l.history = l.history[seen:]
}
