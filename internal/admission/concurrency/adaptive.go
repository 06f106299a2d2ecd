// Package concurrency provides an adaptive concurrency limit for the calls of this
// instance to one endpoint, and this instance's share of a fixed limit. It does no
// I/O and no locking.
package concurrency

// This file defines AdaptiveLimit and Share.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	initialLimit        = 8.0 // used until calls have been recorded
	minLimit            = 1.0
	maxLimit            = 4096.0
	increase            = 1.0                    // added for each limit's worth of successful calls
	decreaseFactor      = 0.85                   // applied after a slow or failed call
	latencyTolerance    = 2.5                    // a call is slow if it takes longer than this multiple of the lowest latency, plus latencySlack
	latencySlack        = 50 * time.Millisecond  // keeps small absolute variations of short calls from counting as slow
	minDecreaseInterval = 200 * time.Millisecond // prevents several decreases for one period of slow calls
	minLatencyPeriod    = 30 * time.Second       // period after which an older lowest latency is discarded
)

// AdaptiveLimit is the adaptive concurrency limit of one endpoint. Successful calls
// increase it additively while at least half of it is in use. Calls that fail, or
// that take far longer than the fastest recent call, decrease it multiplicatively.
// The zero value is ready to use. It is not safe for concurrent use.
type AdaptiveLimit struct {
	limit          float64
	minLatency     time.Duration // lowest latency since the start of the previous period; the reference for slow calls
	nextMinLatency time.Duration // lowest latency of the current period, the reference of the next one
	periodStart    time.Time
	lastDecrease   time.Time
}

// Limit returns the number of calls that this instance may have in flight, 1 or more.
func (l *AdaptiveLimit) Limit() int {
	if l.limit == 0 {
		return int(initialLimit)
	}
	return int(l.limit)
}

// RecordSuccess records a call that succeeded. The latency is the time to the first token if
// the response was streamed; inFlight is the number of calls in flight.
func (l *AdaptiveLimit) RecordSuccess(latency time.Duration, inFlight int, now time.Time) {
	l.recordLatency(latency, now)
	if latency > time.Duration(latencyTolerance*float64(l.minLatency))+latencySlack {
		l.decrease(now)
		return
	}
	l.init()
	if float64(inFlight) >= l.limit/2 {
		l.limit = min(maxLimit, l.limit+increase/l.limit)
	}
}

// RecordFailure records a call that was refused, lost its connection or timed out.
func (l *AdaptiveLimit) RecordFailure(now time.Time) { l.decrease(now) }

func (l *AdaptiveLimit) init() {
	if l.limit == 0 {
		l.limit = initialLimit
	}
}

func (l *AdaptiveLimit) decrease(now time.Time) {
	l.init()
	if now.Sub(l.lastDecrease) < minDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = max(minLimit, l.limit*decreaseFactor)
}

func (l *AdaptiveLimit) recordLatency(latency time.Duration, now time.Time) {
	if l.minLatency == 0 || latency < l.minLatency {
		l.minLatency = latency
	}
	if l.nextMinLatency == 0 || latency < l.nextMinLatency {
		l.nextMinLatency = latency
	}
	if l.periodStart.IsZero() {
		l.periodStart = now
	}
	if now.Sub(l.periodStart) > minLatencyPeriod {
		l.minLatency, l.nextMinLatency, l.periodStart = l.nextMinLatency, 0, now
	}
}

// Share returns the part of a limit that the instance with the given seat may use.
// A seat is the index of an instance among those that share the limit, 0 to seats-1;
// the share of any other seat is 0. The shares of all seats add up to the limit. The
// remainder of the division goes to seats that depend on the hash of name, so that
// no seat gets the larger share of every limit.
func Share(limit, seat, seats int, name string) int {
	if seat < 0 || seat >= seats {
		return 0
	}
	rotated := (seat + int(xxhash.Sum64String(name)%uint64(seats))) % seats
	n := limit / seats
	if rotated < limit%seats {
		n++
	}
	return n
}
