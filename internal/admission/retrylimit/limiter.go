// Package retrylimit limits retries to each service over a sliding window, so that
// retries do not multiply the load when many requests fail at once.
//
// An instance may retry at most a fixed share of the first attempts that it has
// sent itself. The retries of all instances then stay within the same share of all
// first attempts without any communication between instances, as long as each request
// is recorded as a first attempt by one instance only, and each further send that may
// reach an endpoint is allowed by some instance. The package does no I/O.
package retrylimit

// This file defines Limiter.

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const slices = 10 // equal parts of the window, each counted on its own

// Limiter counts the first attempts and retries to each service and decides
// whether another retry is allowed. It is safe for concurrent use.
type Limiter struct {
	share  float64
	extra  int // retries allowed in a window in addition to the share
	window time.Duration
	clock  func() time.Duration
	scope  tally.Scope

	mu       sync.Mutex
	services map[string]*counts
}

// counts holds the attempts of one service by slice. It has one slice more than the window, because
// the newest slice is still incomplete: all slices hold at least the retries of a window, and those
// without the oldest at most its first attempts.
type counts struct {
	slice         int64 // number of the newest slice
	firstAttempts [slices + 1]int
	retries       [slices + 1]int
	metrics       metrics
}

// metrics are those of one service.
type metrics struct {
	allowed, refused tally.Counter
	used             tally.Gauge // retries of the window for each one that the budget has room for
}

// New returns a limiter that allows, in each window, retries up to a share of the
// first attempts, plus a fixed number (extra) that permits retries at low load. The
// clock must not follow steps of the time of day, and must continue while the instance is suspended, as
// boottime.Now does.
func New(share float64, extra int, window time.Duration, clock func() time.Duration, scope tally.Scope) *Limiter {
	return &Limiter{share: share, extra: extra, window: window, clock: clock, scope: scope, services: make(map[string]*counts)}
}

// RecordFirstAttempt records the first attempt of a request to a service.
func (l *Limiter) RecordFirstAttempt(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.advance(service)
	c.firstAttempts[c.slice%(slices+1)]++
}

// AllowRetry reports whether another retry to a service is allowed, and counts it if so.
func (l *Limiter) AllowRetry(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.advance(service)
	firstAttempts, retries := 0, 0
	oldest := int((c.slice + 1) % (slices + 1))
	for i := range c.firstAttempts {
		if i != oldest {
			firstAttempts += c.firstAttempts[i]
		}
		retries += c.retries[i]
	}
	budget := l.share*float64(firstAttempts) + float64(l.extra)
	if float64(retries+1) > budget {
		c.metrics.refused.Inc(1)
		return false
	}
	c.retries[c.slice%(slices+1)]++
	c.metrics.allowed.Inc(1)
	c.metrics.used.Update(float64(retries+1) / budget)
	return true
}

// advance returns the counts of a service after clearing the slices that have left
// the window. The caller holds l.mu.
func (l *Limiter) advance(service string) *counts {
	slice := int64(l.clock() / (l.window / slices))
	c := l.services[service]
	if c == nil {
		scope := l.scope.Tagged(map[string]string{"service": service})
		c = &counts{slice: slice, metrics: metrics{scope.Counter("retries"), scope.Counter("retries_refused"), scope.Gauge("retry_budget_used")}}
		l.services[service] = c
	}
	for ; c.slice < slice; c.slice++ {
		if slice-c.slice > slices+1 {
			c.slice = slice - slices - 1
		}
		c.firstAttempts[(c.slice+1)%(slices+1)] = 0
		c.retries[(c.slice+1)%(slices+1)] = 0
	}
	return c
}
