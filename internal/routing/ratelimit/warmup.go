package ratelimit

// This file defines the limits of cold endpoints. Unlike the limits that endpoints name, they are
// known from the store on every instance, and are not told.

import "time"

// minBound is the least number of requests in any second that a warm-up leaves room for.
const minBound = 1 + trialRate

// WarmUpRate returns the rate at which a cold endpoint never gets more requests in a second than
// rate*overrun+slack, whatever it saved up before.
func WarmUpRate(rate, overrun, slack float64) float64 {
	bound := max(minBound, rate*max(1, overrun)+max(0, slack))
	return min(rate, (bound-1)/(1+burstTime.Seconds()))
}

// StartWarmUp limits an endpoint to the given number of requests a second until EndWarmUp, in
// addition to the limit that it may have named.
func (t *Tracker) StartWarmUp(name string, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[name]
	if s == nil {
		t.prune(now)
		s = &state{Claim: Claim{Endpoint: name}, bucket: newBucket(now)}
		t.endpoints[name] = s
		t.kept.Store(int64(len(t.endpoints)))
	}
	if s.warmUp == 0 && !s.Limited {
		s.bucket = newBucket(now)
	}
	s.bucket.refill(t.rate(s), now)
	s.warmUp = max(trialRate, rate)
}

// EndWarmUp ends what StartWarmUp began.
func (t *Tracker) EndWarmUp(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[name]
	if s == nil || s.warmUp == 0 {
		return
	}
	s.bucket.refill(t.rate(s), now)
	s.warmUp = 0
	if s.changed.IsZero() { // it has named no limit
		delete(t.endpoints, name)
		t.kept.Store(int64(len(t.endpoints)))
	}
}
