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
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const slices = 20 // equal parts of the window, each counted on its own; even

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

// counts holds the attempts of one service by slice, those of slice n at n modulo the length.
type counts struct {
	slice         int64 // number of the newest slice, which is incomplete
	firstAttempts [2 * slices]int
	retries       [2 * slices]int
	metrics       metrics
}

// sum returns the sum of the slices that are at least from and less than to slices old.
func (c *counts) sum(attempts *[2 * slices]int, from, to int) (n int) {
	for age := from; age < to; age++ {
		n += attempts[(c.slice-int64(age))%(2*slices)]
	}
	return n
}

// requests returns the first attempts that the retries of a window count against: those of that window, of
// the one before it, or of the one half a window before it, whichever has most. As a window with a retry of now
// may have begun in any slice of the last window, the least of these numbers is returned. Slices that
// are in part outside a window do not count.
func (c *counts) requests() int {
	least := math.MaxInt
	for begin := range slices + 1 {
		least = min(least, max(
			c.sum(&c.firstAttempts, 0, begin),
			c.sum(&c.firstAttempts, max(0, begin-slices/2+1), begin+slices/2),
			c.sum(&c.firstAttempts, begin+1, begin+slices),
		))
	}
	return least
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
	c.firstAttempts[c.slice%(2*slices)]++
}

// AllowRetry reports whether another retry to a service is allowed, and counts it if so.
func (l *Limiter) AllowRetry(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.advance(service)
	retries := c.sum(&c.retries, 0, slices+1) // the newest slice is incomplete, so that these hold a window
	budget := l.share*float64(c.requests()) + float64(l.extra)
	if float64(retries+1) > budget {
		c.metrics.refused.Inc(1)
		return false
	}
	c.retries[c.slice%(2*slices)]++
	c.metrics.allowed.Inc(1)
	c.metrics.used.Update(float64(retries+1) / budget)
	return true
}

// advance returns the counts of a service after clearing the slices that have left
// the window. The caller holds l.mu.
func (l *Limiter) advance(service string) *counts {
	slice := 2*slices + int64(l.clock()/max(1, l.window/slices)) // slices before the first one have numbers too
	c := l.services[service]
	if c == nil {
		scope := l.scope.Tagged(map[string]string{"service": service})
		c = &counts{slice: slice, metrics: metrics{scope.Counter("retries"), scope.Counter("retries_refused"), scope.Gauge("retry_budget_used")}}
		l.services[service] = c
	}
	c.slice = max(c.slice, slice-2*slices)
	for c.slice < slice {
		c.slice++
		c.firstAttempts[c.slice%(2*slices)] = 0
		c.retries[c.slice%(2*slices)] = 0
	}
	return c
}
