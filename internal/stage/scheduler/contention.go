package scheduler

// This file limits the concurrent calls to a service whose endpoints other
// instances use as well.

import (
	"math"
	"time"
)

const (
	// contentionTimeout is how long a service counts as contended after an endpoint
	// last had work of another instance. It spans several calls, so that a single
	// call without contention does not end the state.
	contentionTimeout = 1500 * time.Millisecond
	// targetUtilization is the share of time for which the endpoints in use should
	// be busy. The remainder lets the backlog drain.
	targetUtilization = 0.7
	// yieldShare is the part of the needed endpoints that is left to other
	// instances if all responses report work of other instances.
	yieldShare     = 0.7
	contentionGain = 0.1 // weight of one response in the moving share of contended responses
)

// contention tracks the demand for a service and the use of its endpoints by
// other instances. It covers instances that cannot reach each other, so that each
// acts as coordinator: if each sent its pieces to every endpoint that looks idle, nearly
// all calls would be almost empty and would wait behind those of the others. An
// instance that uses only as many endpoints as full calls for its own pieces
// need leaves the rest to the others, so that all of them fill their calls.
type contention struct {
	demand      rate      // requested pieces, whether admitted or not; fewer endpoints mean longer predicted times and thus more refusals
	contendedAt time.Time // when an endpoint last had work of another instance; zero for never
	share       float64   // moving share of responses that reported work of another instance
}

// RecordResponse records a response of an endpoint of a service, and whether it
// had work of another instance.
func (s *Scheduler) RecordResponse(service string, contended bool, now time.Time) {
	c := &s.queueFor(service).contention
	seen := 0.0
	if contended {
		seen, c.contendedAt = 1, now
	}
	c.share += contentionGain * (seen - c.share)
}

// active reports whether other instances used the endpoints within
// contentionTimeout.
func (c *contention) active(now time.Time) bool {
	return !c.contendedAt.IsZero() && now.Sub(c.contendedAt) <= contentionTimeout
}

// Contended reports whether other instances recently used the endpoints of a
// service, and the moving share of responses that reported such use.
func (s *Scheduler) Contended(service string, now time.Time) (bool, float64) {
	c := &s.queueFor(service).contention
	return c.active(now), c.share
}

// callLimit returns the maximum number of concurrent calls to the service. There
// is no limit unless the service is contended.
func (q *serviceQueue) callLimit(now time.Time) int {
	c := &q.contention
	if !c.active(now) {
		return math.MaxInt
	}
	throughput := float64(q.batch.MaxPieces) / q.fullCallTime().Seconds()
	return max(1, int(math.Ceil((1-yieldShare*c.share)*c.demand.current(now)/(targetUtilization*throughput))))
}

// MaxCalls returns the maximum number of concurrent calls to a service, as of
// the last call of UpdateService for it.
func (s *Scheduler) MaxCalls(service string) int { return s.queueFor(service).maxCalls }
