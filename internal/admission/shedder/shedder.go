// Package shedder decides which share of the orders for a busy coordinator is refused before it is
// sent. A coordinator that gets more orders than its processor can judge answers all of them late,
// and refusing one costs it as much as judging it. Its followers see that by the time that it takes to
// answer their polls, which wait for the same processor as the orders do.
//
// The share rises while the answers are late and falls while they are not. Each follower decides
// for itself; all of them see the same coordinator. A Shedder reads no clock and does no I/O.
package shedder

// This file defines Shedder.

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lateBound is the time for an answer from which the coordinator counts as late. It leaves
	// an order most of its time, and is half of the time after which a poll counts as lost.
	lateBound = 200 * time.Millisecond
	// A single late answer may be due to a lost packet: the shortest of minAnswers counts, unless
	// one takes certainBound.
	minAnswers   = 2
	certainBound = 2 * lateBound
	riseStep     = 0.1 // by which the share rises with each answer that takes lateBound
	// With each answer in time the share falls to keptShare of itself less fallStep.
	keptShare = 0.8
	fallStep  = 0.02
	maxShare  = 0.95 // some orders show when the coordinator has caught up
	// Refused callers return at different times, when several more answers have come.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 1200 * time.Millisecond
)

// Shedder holds the share for the coordinator that one instance follows. It is safe for concurrent use.
type Shedder struct {
	mu     sync.Mutex
	rng    *rand.Rand
	latest []time.Duration // of the last minAnswers polls
	share  float64
}

// New returns a shedder that refuses nothing yet and draws from rng.
func New(rng *rand.Rand) *Shedder { return &Shedder{rng: rng} }

// Reset forgets the coordinator, as another one is followed.
func (s *Shedder) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest, s.share = nil, 0
}

// Observe records how long the coordinator took to answer a poll, or how long it has taken so far
// although its process is alive. It returns the share of orders to refuse before and after.
func (s *Shedder) Observe(took time.Duration) (before, after float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.share
	if s.latest = append(s.latest, took); len(s.latest) > minAnswers {
		s.latest = s.latest[1:]
	}
	shortest := took
	for _, t := range s.latest {
		shortest = min(shortest, t)
	}
	if took >= certainBound {
		shortest = took
	}
	switch {
	case shortest < lateBound:
		s.share = max(0, s.share*keptShare-fallStep)
	case len(s.latest) == minAnswers || took >= certainBound:
		s.share = min(maxShare, s.share+riseStep*float64(shortest)/float64(lateBound))
	}
	return before, s.share
}

// Refuses reports whether the next order is refused, and the time after which its caller may return.
func (s *Shedder) Refuses() (retryAfter time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.share == 0 || s.rng.Float64() >= s.share {
		return 0, false
	}
	return minRetryAfter + time.Duration(s.rng.Float64()*float64(maxRetryAfter-minRetryAfter)), true
}
