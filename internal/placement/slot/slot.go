// Package slot shares the rate-limited weight store among issuers without
// talking: wall-clock time is cut into slots, each of one issuer, long enough for
// the loads that it starts in them. It is a pure function of the table and the clock.
package slot

// This file defines Clock.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

const (
	// Issuers is the greatest number of seats that issue orders.
	Issuers = 16
	// Longest is the longest time that an order of a valid table needs.
	Longest = policy.LongestLoad
	// skew bounds the difference between the clocks of two instances.
	skew    = time.Second
	minimum = 10 * time.Second // length of a slot
)

// Clock tells whose slot it is.
type Clock struct {
	Seats   int   // issuers, numbered from 0
	Store   int64 // bytes a second that the weight store gives; 0 for no limit
	Largest int64 // bytes of the largest order
}

// New returns the clock for a number of seats that the table gives.
func New(seats int, store, largest int64) Clock {
	return Clock{Seats: max(1, min(seats, Issuers)), Store: store, Largest: largest}
}

// Length returns the length of a slot: one and a half times what the largest
// order needs, and the clocks' difference on both sides.
func (c Clock) Length() time.Duration {
	return max(minimum, c.needs(c.Largest)*3/2+2*skew)
}

// needs returns how long the store takes for a number of bytes.
func (c Clock) needs(bytes int64) time.Duration {
	if c.Store == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(c.Store) * float64(time.Second))
}

// Number returns the number of the slot at now, which rises without gaps.
func (c Clock) Number(now time.Time) int64 { return now.UnixNano() / int64(c.Length()) }

// Fits reports whether an issuer may start an order of so many bytes now, after
// it has started used bytes in the same slot. All of them are then loaded before
// the slot ends, by the clock of any instance.
func (c Clock) Fits(now time.Time, seat int, used, bytes int64) bool {
	number := c.Number(now)
	if seat < 0 || number%int64(c.Seats) != int64(seat) {
		return false
	}
	begin := time.Unix(0, number*int64(c.Length()))
	if now.Sub(begin) < skew {
		return false
	}
	left := begin.Add(c.Length()).Sub(now) - skew
	return c.needs(used+bytes) <= left
}
