// Package retries recognises the retries of callers whose request was refused, so
// that each retry keeps the goal of the first attempt.
//
// A refused caller usually retries within one or two seconds. The goal of its
// response counts from the first attempt, but each attempt has an id of its own
// and states only the time left until its deadline. If retries counted as new
// requests, they would be served too late for their goal, in place of requests
// that can still meet theirs. An attempt is taken for a retry if it asks for the
// same as a refused request and has the same deadline.
//
// A Tracker reads no clock, does no I/O and does no locking.
package retries

// This file defines Tracker.

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Capacity is the number of refused requests that a Tracker keeps: the refusals
	// of 2 s at twice the load that one coordinator is made for.
	Capacity = 16384
	// deadlineTolerance is how much the deadlines of a caller's attempts may differ.
	// Each is measured by the instance that receives the attempt.
	deadlineTolerance = 100 * time.Millisecond
	// maxDelayDivisor: callers wait for at most the time left until their deadline divided by it.
	maxDelayDivisor = 3
	// earlyTolerance is how much before the time that it was told a caller may come back.
	earlyTolerance = 50 * time.Millisecond
)

// Tracker keeps the most recent refused requests by the fingerprint of what they
// ask for. Its caller serializes all calls.
type Tracker struct {
	refused *simplelru.LRU[uint64, attempt]
}

// attempt holds the times of a caller's first refused attempt.
type attempt struct {
	goal     time.Time // when the response should be given
	deadline time.Time
	earliest time.Time // before which the caller was told not to come back
}

// New returns an empty Tracker.
func New() *Tracker {
	refused, err := simplelru.NewLRU[uint64, attempt](Capacity, nil)
	if err != nil {
		panic("retries: creating the LRU cache: " + err.Error())
	}
	return &Tracker{refused: refused}
}

// Goal returns the goal of a request that arrives with the given goal and
// deadline: that of the first attempt if the request is a retry and that goal is
// earlier, and else the given one.
func (t *Tracker) Goal(fingerprint uint64, goal, deadline time.Time) time.Time {
	first, known := t.first(fingerprint, deadline)
	if !known || !first.goal.Before(goal) {
		return goal
	}
	return first.goal
}

// Earliest returns the time before which the caller of a request was told not to come back; zero
// if the request is no retry.
func (t *Tracker) Earliest(fingerprint uint64, deadline time.Time) time.Time {
	first, _ := t.first(fingerprint, deadline)
	return first.earliest
}

func (t *Tracker) first(fingerprint uint64, deadline time.Time) (attempt, bool) {
	first, known := t.refused.Get(fingerprint)
	if !known || deadline.Sub(first.deadline).Abs() > deadlineTolerance {
		return attempt{}, false
	}
	return first, true
}

// RecordRefusal records a refused request, with the goal that Goal returned, and the delay after
// which its caller was told to come back. A caller that came back too early has the time that it
// was told first.
func (t *Tracker) RecordRefusal(fingerprint uint64, goal, deadline time.Time, delay time.Duration, now time.Time) {
	earliest := now.Add(min(delay, deadline.Sub(now)/maxDelayDivisor) - earlyTolerance)
	if told := t.Earliest(fingerprint, deadline); now.Before(told) {
		earliest = told
	}
	t.refused.Add(fingerprint, attempt{goal: goal, deadline: deadline, earliest: earliest})
}

// Forget removes the record of a request, which was served.
func (t *Tracker) Forget(fingerprint uint64) { t.refused.Remove(fingerprint) }
