// Package retry keeps the extra work of retries and hedges within a share of
// the first attempts.
package retry

// This file defines Budget and Share.

import (
	"sync"
	"time"
)

const (
	reserve = 3.0  // extra attempts that a budget starts with
	most    = 50.0 // extra attempts that a quiet time can save up

	// Overload is the utilisation of a role from which on no hedge is sent.
	Overload = 0.9

	hedgeFactor = 4.0                   // times the usual deviation that a call waits before it is hedged
	hedgeLeast  = 20 * time.Millisecond // least wait before a hedge
)

// Share bounds extra attempts, each as a share of first attempts.
type Share struct {
	Retry float64 // retries and hedges together
	Hedge float64 // hedges alone
}

// Budget is earned by first attempts and spent by retries and hedges. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	extra  float64 // retries and hedges that may still be sent
	hedges float64 // hedges that may still be sent
}

// New returns a budget with a small reserve for retries and none for hedges.
func New() *Budget { return &Budget{extra: reserve} }

// First records a first attempt.
func (b *Budget) First(s Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = min(most, b.extra+s.Retry)
	b.hedges = min(most, b.hedges+min(s.Hedge, s.Retry))
}

// Retry reports whether one more retry may be sent, and counts it.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.extra < 1 {
		return false
	}
	b.extra--
	return true
}

// Hedge reports whether one more hedge may be sent at the given utilisation of
// the role (calls in flight for each slot), and counts it.
func (b *Budget) Hedge(utilisation float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if utilisation >= Overload || b.extra < 1 || b.hedges < 1 {
		return false
	}
	b.extra--
	b.hedges--
	return true
}

// Delay returns how long a call waits for its first answer before it is
// hedged, and whether enough is known to hedge at all. It is more than the
// usual wait, given by its mean and mean deviation, and at least a share
// (patience, 0 to 1) of the time to spare before the deadline: a call that has
// time to spare is hedged late, since the first attempt may yet answer.
func Delay(mean, deviation, spare time.Duration, patience float64) (time.Duration, bool) {
	if mean <= 0 {
		return 0, false
	}
	usual := mean + time.Duration(hedgeFactor*float64(deviation))
	return max(hedgeLeast, usual, time.Duration(patience*float64(spare))), true
}
