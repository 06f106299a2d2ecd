package ratelimit

// This file takes requests from limits.

import "time"

const (
	// trialRate is the lowest rate, in requests a second, at which an endpoint is tried: one
	// that named less gets a request now and then, which shows whether its limit has ended.
	trialRate = 0.1
	// burstTime is how much of a limit may be taken at once, besides one request. Requests
	// do not come evenly, and endpoints bear half as much again.
	burstTime = 250 * time.Millisecond
	// trialInterval is the time between two requests that an instance has sent to an endpoint
	// although others could take them, to use its limit and to notice its end.
	trialInterval = time.Second
)

// bucket is a token bucket of requests.
type bucket struct {
	tokens float64
	at     time.Time // to which tokens were added
}

func newBucket(now time.Time) bucket { return bucket{at: now} }

// refill adds the tokens that came at the given rate, in tokens a second, since the last
// refill.
func (b *bucket) refill(rate float64, now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(1+rate*burstTime.Seconds(), b.tokens+rate*passed.Seconds())
		b.at = now
	}
}

// Take takes a request that is about to be sent from the limit of an endpoint. It returns
// false if the limit has no room for it. Endpoints without a limit take all requests.
func (t *Tracker) Take(name string, now time.Time) bool {
	if t.kept.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limited(name)
	if s == nil {
		return true
	}
	if s.bucket.refill(t.rate(s), now); s.bucket.tokens < 1 {
		return false
	}
	s.bucket.tokens--
	return true
}

// Return gives back a request that was taken and not sent.
func (t *Tracker) Return(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limited(name); s != nil {
		s.bucket.tokens++
	}
}

// Left returns the time until the limit of an endpoint has room for a request, and false if
// this instance has no part of it. It is zero if it has room now.
func (t *Tracker) Left(name string, now time.Time) (time.Duration, bool) {
	if t.kept.Load() == 0 {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limited(name)
	if s == nil {
		return 0, true
	}
	rate := t.rate(s)
	if s.bucket.refill(rate, now); s.bucket.tokens >= 1 {
		return 0, true
	}
	if rate <= 0 {
		return 0, false
	}
	return time.Duration((1-s.bucket.tokens)/rate*float64(time.Second)) + 1, true
}

// Rate returns the requests a second that this instance may take from the limit of an
// endpoint, and false if there is no limit.
func (t *Tracker) Rate(name string) (float64, bool) {
	if t.kept.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limited(name); s != nil {
		return t.rate(s), true
	}
	return 0, false
}

// TrialDue reports whether an endpoint with a limit should get the next request although other
// endpoints could take it, and counts that as the instance's trial.
func (t *Tracker) TrialDue(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limited(name)
	if s == nil || now.Sub(s.lastTrial) < trialInterval {
		return false
	}
	s.lastTrial = now
	return true
}
