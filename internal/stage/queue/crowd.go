package queue

// This file decides how many endpoints of a service are used at once while
// other instances use them as well.

import (
	"math"
	"time"
)

const (
	// crowdFor is how long a service counts as crowded after an endpoint had work
	// of another instance: several calls, so that one quiet call ends nothing.
	crowdFor = 1500 * time.Millisecond
	// crowdTarget is the share of the time that the used endpoints should work.
	// The rest lets what waits drain.
	crowdTarget = 0.7
	rateSpan    = time.Second // of the moving mean of pieces: some calls
	// crowdYield is the part of the needed endpoints that is given up where all
	// of them had work of others.
	crowdYield = 0.7
	sharedGain = 0.1 // weight of an answer in the moving share of those that told of others
)

// crowd is what a line knows of other instances that use its endpoints. It
// answers instances that cannot reach each other and all gather: if each sends
// what it has to every endpoint that it takes for free, all calls are nearly
// empty and each waits for those of the others. An instance that uses only as
// many endpoints as full calls for its own pieces need leaves the rest to the
// others, and all of them fill their calls.
type crowd struct {
	rate   float64   // pieces a second that are asked for
	rated  time.Time // when rate was worked out
	others time.Time // when an endpoint last had work of another instance; zero for never
	shared float64   // moving share of the answers whose endpoint had
}

// asked counts the pieces of a job, taken or not: an instance that went by what
// it takes would take ever less, since fewer endpoints leave a job less time.
func (c *crowd) asked(pieces int, now time.Time) {
	c.rate = c.current(now) + float64(pieces)/rateSpan.Seconds()
	c.rated = now
}

func (c *crowd) current(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.rated).Seconds()/rateSpan.Seconds())
}

// Answered records an answer of an endpoint of a service, and whether it had
// work of another instance.
func (q *Queue) Answered(service string, others bool, now time.Time) {
	c := &q.line(service).crowd
	seen := 0.0
	if others {
		seen, c.others = 1, now
	}
	c.shared += sharedGain * (seen - c.shared)
}

// crowded reports whether other instances used the endpoints lately.
func (c *crowd) crowded(now time.Time) bool {
	return !c.others.IsZero() && now.Sub(c.others) <= crowdFor
}

// Crowded reports whether other instances used the endpoints of a service
// lately, and the share of answers that told so.
func (q *Queue) Crowded(service string, now time.Time) (bool, float64) {
	c := &q.line(service).crowd
	return c.crowded(now), c.shared
}

// most returns how many calls should be under way at once at most.
func (l *line) most(now time.Time) int {
	c := &l.crowd
	if !c.crowded(now) {
		return math.MaxInt
	}
	perCall := float64(l.batch.Most) / l.full().Seconds()
	return max(1, int(math.Ceil((1-crowdYield*c.shared)*c.current(now)/(crowdTarget*perCall))))
}

// Most returns how many calls of a service should be under way at once at most,
// as of the last call of Service.
func (q *Queue) Most(service string) int { return q.line(service).calls }
