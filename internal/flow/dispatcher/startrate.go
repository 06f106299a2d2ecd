package dispatcher

// This file defines startRates, the measured rate at which the waiting calls of each
// account start.

import (
	"sync"
	"time"
)

const sampleWeight = 1.0 / 8 // weight of a new measurement in the moving average

// startRates holds the accounts that have calls waiting in one queue. It is safe for
// concurrent use.
type startRates struct {
	mu        sync.Mutex
	byAccount map[string]*startRate
}

type startRate struct {
	waiting        int
	meanGapSeconds float64 // moving average of the time between two starts; zero until measured
	lastStart      time.Time
}

// add records that a call of an account starts to wait.
func (r *startRates) add(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAccount == nil {
		r.byAccount = make(map[string]*startRate)
	}
	rate := r.byAccount[account]
	if rate == nil {
		rate = new(startRate)
		r.byAccount[account] = rate
	}
	rate.waiting++
}

// remove records that a call of an account no longer waits, because it has started or
// was given up.
func (r *startRates) remove(account string, started bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.byAccount[account]
	rate.waiting--
	if rate.waiting == 0 {
		delete(r.byAccount, account)
		return
	}
	if !started {
		return
	}
	if !rate.lastStart.IsZero() {
		gap := now.Sub(rate.lastStart).Seconds()
		if rate.meanGapSeconds == 0 {
			rate.meanGapSeconds = gap
		}
		rate.meanGapSeconds += sampleWeight * (gap - rate.meanGapSeconds)
	}
	rate.lastStart = now
}

// predictWait predicts how long one more call of an account would wait, from the rate at
// which the account's own calls start. This rate reflects the competing load of other
// accounts.
func (r *startRates) predictWait(account string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.byAccount[account]
	if rate == nil {
		return 0
	}
	return time.Duration(float64(rate.waiting+1) * rate.meanGapSeconds * float64(time.Second))
}
