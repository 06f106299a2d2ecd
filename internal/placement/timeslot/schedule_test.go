package timeslot_test

// This file tests that the loads that instances start never exceed the rate of the
// weight store.

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/placement/timeslot"
)

// The random test cases are the same in every run, unless -rapid.seed selects others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// TestLoadsOfTwoSeatsNeverOverlap guards against two instances that load from the weight
// store at once and so exceed its rate. Instances whose clocks differ by up to a second
// start every order that the schedule allows. All loads that one of them has started
// must be complete, at the store's rate, before another instance starts one.
func TestLoadsOfTwoSeatsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const storeRate = 1000 // bytes per second
		largest := rapid.Int64Range(1, 200_000).Draw(t, "largest")
		s := timeslot.New(rapid.IntRange(2, 20).Draw(t, "seats"), storeRate, largest)
		skews := rapid.SliceOfN(rapid.Int64Range(-500, 500), s.Seats, s.Seats).Draw(t, "skews")
		used := make(map[int]int64)
		number := make(map[int]int64)
		busyUntil, loading := time.Time{}, -1
		now := time.Unix(rapid.Int64Range(0, 1_000_000).Draw(t, "start"), 0)
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(s.SlotLength())).Draw(t, "step")))
			seat := rapid.IntRange(0, s.Seats-1).Draw(t, "seat")
			bytes := rapid.Int64Range(0, largest).Draw(t, "bytes")
			local := now.Add(time.Duration(skews[seat]) * time.Millisecond)
			if n := s.SlotNumber(local); n != number[seat] {
				number[seat], used[seat] = n, 0
			}
			if !s.CanStart(local, seat, used[seat], bytes) {
				continue
			}
			if loading != seat && now.Before(busyUntil) {
				t.Fatalf("seat %d starts a load at %s, while loads of seat %d take until %s", seat, now, loading, busyUntil)
			}
			used[seat] += bytes
			begin := now
			if busyUntil.After(begin) {
				begin = busyUntil
			}
			busyUntil, loading = begin.Add(time.Duration(bytes)*time.Second/storeRate), seat
		}
	})
}

// TestEverySeatGetsTheLargestOrderThrough guards against an order so large that no slot
// ever allows it.
func TestEverySeatGetsTheLargestOrderThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storeRate := rapid.Int64Range(0, 1<<30).Draw(t, "store")
		largest := rapid.Int64Range(0, 1<<40).Draw(t, "largest")
		if storeRate > 0 {
			largest = min(largest, storeRate*int64(timeslot.MaxLoadTime/time.Second)) // the limit in a valid table
		}
		s := timeslot.New(rapid.IntRange(1, 20).Draw(t, "seats"), storeRate, largest)
		now := time.Unix(rapid.Int64Range(0, 1_000_000).Draw(t, "start"), 0)
		for seat := range s.Seats {
			found := false
			for at := now; at.Sub(now) <= time.Duration(s.Seats+1)*s.SlotLength(); at = at.Add(max(time.Second, s.SlotLength()/20)) {
				found = found || s.CanStart(at, seat, 0, largest)
			}
			if !found {
				t.Fatalf("seat %d of %d can never start an order of %d bytes", seat, s.Seats, largest)
			}
		}
	})
}
