// Package ceiling provides the adaptive limit on the calls that this instance
// has in flight at one endpoint, and this instance's share of a fixed limit.
package ceiling

// This file defines Ceiling and Share.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	start      = 8.0 // first limit of an endpoint of which nothing is known
	least      = 1.0
	most       = 4096.0
	grow       = 1.0                    // added per limit of calls that went well
	shrink     = 0.85                   // factor after a slow or failed call
	tolerance  = 2.5                    // times the least latency that count as slow
	slack      = 50 * time.Millisecond  // latency above the least that never counts as slow
	restPeriod = 200 * time.Millisecond // least time between two reductions
	renew      = 30 * time.Second       // after this time the least latency is measured anew
)

// Ceiling is the adaptive limit of one endpoint: it grows by about one for each
// round of calls that went well while it was in use, and shrinks by a factor
// when calls fail or take far longer than the fastest did. The zero value is
// ready to use. Its owner must guard it by a lock.
type Ceiling struct {
	limit   float64
	floor   time.Duration // least latency seen in this period
	next    time.Duration // least latency seen in the next period
	since   time.Time
	reduced time.Time
}

// Limit returns the greatest number of own calls in flight, 1 or more.
func (c *Ceiling) Limit() int {
	if c.limit == 0 {
		return int(start)
	}
	return int(c.limit)
}

// Good records a call that succeeded with the given latency (to the first
// token, where it streamed) while inFlight calls were in flight.
func (c *Ceiling) Good(latency time.Duration, inFlight int, now time.Time) {
	c.measure(latency, now)
	if latency > time.Duration(tolerance*float64(c.floor))+slack {
		c.reduce(now)
		return
	}
	c.init()
	if float64(inFlight) >= c.limit/2 {
		c.limit = min(most, c.limit+grow/c.limit)
	}
}

// Bad records a call that was refused, lost or timed out.
func (c *Ceiling) Bad(now time.Time) { c.reduce(now) }

func (c *Ceiling) init() {
	if c.limit == 0 {
		c.limit = start
	}
}

func (c *Ceiling) reduce(now time.Time) {
	c.init()
	if now.Sub(c.reduced) < restPeriod {
		return
	}
	c.reduced = now
	c.limit = max(least, c.limit*shrink)
}

func (c *Ceiling) measure(latency time.Duration, now time.Time) {
	if c.floor == 0 || latency < c.floor {
		c.floor = latency
	}
	if c.next == 0 || latency < c.next {
		c.next = latency
	}
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) > renew {
		c.floor, c.next, c.since = c.next, 0, now
	}
}

// Share returns the part of a limit that a seat may use. The parts of all
// seats add up to the limit; the name spreads the remainder over the seats, so
// that no seat gets the greater part everywhere. A seat outside 0 to seats-1 has none.
func Share(limit, seat, seats int, name string) int {
	if seat < 0 || seat >= seats {
		return 0
	}
	turned := (seat + int(xxhash.Sum64String(name)%uint64(seats))) % seats
	n := limit / seats
	if turned < limit%seats {
		n++
	}
	return n
}
