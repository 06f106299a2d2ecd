// Package retry limits the extra load of retries and hedged requests to a share of
// the first attempts, so that they do not multiply the load when endpoints fail or
// get slow. It does no I/O.
package retry

// This file defines Budget and Shares.

import (
	"sync"
	"time"
)

const (
	initialRetries = 3.0  // allows retries before first attempts have been recorded
	maxSaved       = 50.0 // bounds the burst of retries or hedges after a time without failures

	// Overload is the utilisation of a role at or above which no hedge is sent.
	Overload = 0.9

	hedgeDeviations = 4.0                   // mean deviations above the mean after which a call counts as unusually slow
	minHedgeDelay   = 20 * time.Millisecond // keeps very fast calls from being hedged at once
)

// Shares limits retries and hedges, each relative to the number of first attempts.
type Shares struct {
	Retry float64 // retries and hedges together
	Hedge float64 // hedges alone
}

// Budget is a retry budget: first attempts add to it, retries and hedges spend it. It
// is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	extra  float64 // retries and hedges that may still be sent
	hedges float64 // hedges that may still be sent
}

// New returns a budget that allows a few retries, but no hedges, before the first
// attempts are recorded.
func New() *Budget { return &Budget{extra: initialRetries} }

// RecordFirstAttempt records a first attempt, which adds the given shares to the budget.
func (b *Budget) RecordFirstAttempt(s Shares) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = min(maxSaved, b.extra+s.Retry)
	b.hedges = min(maxSaved, b.hedges+min(s.Hedge, s.Retry))
}

// AllowRetry reports whether another retry may be sent, and counts it if so.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.extra < 1 {
		return false
	}
	b.extra--
	return true
}

// AllowHedge reports whether another hedge may be sent, and counts it if so. The
// utilisation of the role is its calls in flight divided by its slots.
func (b *Budget) AllowHedge(utilisation float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if utilisation >= Overload || b.extra < 1 || b.hedges < 1 {
		return false
	}
	b.extra--
	b.hedges--
	return true
}

// HedgeDelay returns how long to wait for the first response to a call before the call is
// hedged. It returns false if the mean latency is unknown, in which case the call must
// not be hedged. The delay is longer than the usual latency, which is given by its
// mean and mean deviation. It is also at least the slack, the time that the call can
// lose and still meet its deadline, multiplied by costWeight (0 to 1): while there is
// slack the first attempt may still be answered, which saves the cost of the hedge.
func HedgeDelay(mean, deviation, slack time.Duration, costWeight float64) (time.Duration, bool) {
	if mean <= 0 {
		return 0, false
	}
	usual := mean + time.Duration(hedgeDeviations*float64(deviation))
	return max(minHedgeDelay, usual, time.Duration(costWeight*float64(slack))), true
}
