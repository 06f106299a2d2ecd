// Package timeslot divides the bandwidth of the rate-limited weight store among the
// instances that order engines to load models, without communication between them.
//
// Wall-clock time is divided into slots of equal length. Each slot belongs to one
// seat, that is to one instance, and is long enough for the loads that this instance
// starts in it. The schedule is a pure function of the table and the clock.
package timeslot

// This file defines Schedule.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

const (
	// MaxSeats is the highest number of seats that send orders.
	MaxSeats = 16
	// MaxLoadTime is the longest time that loading the models of one order may take
	// in a valid table.
	MaxLoadTime = policy.MaxLoadTime

	maxClockSkew  = time.Second // bound on the difference between the clocks of two instances
	minSlotLength = 10 * time.Second
)

// Schedule assigns the slots to seats in turn.
type Schedule struct {
	Seats        int   // number of seats that have slots, which are 0 to Seats-1
	StoreRate    int64 // rate of the weight store in bytes per second; 0 for no limit
	LargestOrder int64 // total size of the models of the largest order, in bytes
}

// New returns the schedule for the number of seats that the table sets, which is
// limited to 1 to MaxSeats.
func New(seats int, storeRate, largestOrder int64) Schedule {
	return Schedule{Seats: max(1, min(seats, MaxSeats)), StoreRate: storeRate, LargestOrder: largestOrder}
}

// SlotLength returns the length of a slot: one and a half times the load time of
// the largest order, so that this order may also start later than at the beginning of
// the slot, plus the maximum clock skew at both ends. It is at least minSlotLength.
func (s Schedule) SlotLength() time.Duration {
	return max(minSlotLength, s.loadTime(s.LargestOrder)*3/2+2*maxClockSkew)
}

// loadTime returns how long the store takes to transfer a number of bytes.
func (s Schedule) loadTime(bytes int64) time.Duration {
	if s.StoreRate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(s.StoreRate) * float64(time.Second))
}

// SlotNumber returns the number of the slot at now. Successive slots have successive
// numbers.
func (s Schedule) SlotNumber(now time.Time) int64 { return now.UnixNano() / int64(s.SlotLength()) }

// CanStart reports whether the instance with the given seat may start an order of the
// given size now, after it has started orders of used bytes in the same slot. If so,
// all of these are loaded before the slot ends by the clock of any instance.
func (s Schedule) CanStart(now time.Time, seat int, used, bytes int64) bool {
	number := s.SlotNumber(now)
	if seat < 0 || number%int64(s.Seats) != int64(seat) {
		return false
	}
	begin := time.Unix(0, number*int64(s.SlotLength()))
	if now.Sub(begin) < maxClockSkew {
		return false
	}
	left := begin.Add(s.SlotLength()).Sub(now) - maxClockSkew
	return s.loadTime(used+bytes) <= left
}
