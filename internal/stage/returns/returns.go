// Package returns knows refused work again when its caller comes back.
//
// It answers load in which refused callers come back within a second or two.
// An answer is worth most within a time from their first attempt, but each
// attempt has an id of its own and states only the time that is left. Taken for
// new, returns would be served too late in the place of others that can be on
// time. What is asked for again, with the same end of the time that the caller
// waits, is a return. A Returns has no clock and does no input or output.
package returns

// This file defines Returns.

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Most is how many refused requests are remembered: 2 s of refusals at
	// twice the load that an instance gathers for.
	Most = 16384
	// tolerance is by how much the ends of the time that a caller waits may
	// differ between its attempts, which different instances measure.
	tolerance = 100 * time.Millisecond
)

// Returns remembers refused requests by the fingerprint of what they ask for. Its caller holds the lock.
type Returns struct {
	refused *simplelru.LRU[uint64, times]
}

// times are those of a caller's first attempt that was refused.
type times struct {
	goal     time.Time // until when an answer is worth most
	deadline time.Time
}

// New returns a Returns that remembers nothing.
func New() *Returns {
	refused, err := simplelru.NewLRU[uint64, times](Most, nil)
	if err != nil {
		panic("returns: making a cache: " + err.Error())
	}
	return &Returns{refused: refused}
}

// Goal returns until when the answer to a request is worth most that arrives
// with the given times: the first attempt's time where it is a return.
func (r *Returns) Goal(fingerprint uint64, goal, deadline time.Time) time.Time {
	first, known := r.refused.Get(fingerprint)
	if !known || deadline.Sub(first.deadline).Abs() > tolerance || !first.goal.Before(goal) {
		return goal
	}
	return first.goal
}

// Refused records a refusal, with the goal that Goal returned.
func (r *Returns) Refused(fingerprint uint64, goal, deadline time.Time) {
	r.refused.Add(fingerprint, times{goal: goal, deadline: deadline})
}

// Served forgets a request.
func (r *Returns) Served(fingerprint uint64) { r.refused.Remove(fingerprint) }
