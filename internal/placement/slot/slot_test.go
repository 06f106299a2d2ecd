package slot_test

// This file tests that issuers never ask more of the weight store than it gives.

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/placement/slot"
)

// Schedules are the same on every run; -rapid.seed chooses others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// TestLoadsOfTwoIssuersNeverOverlap lets issuers whose clocks differ by up to a
// second start orders greedily. What one has started must be loaded, at the
// store's rate, before another starts.
func TestLoadsOfTwoIssuersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const store = 1000
		largest := rapid.Int64Range(1, 200_000).Draw(t, "largest")
		c := slot.New(rapid.IntRange(2, 20).Draw(t, "seats"), store, largest)
		skews := rapid.SliceOfN(rapid.Int64Range(-500, 500), c.Seats, c.Seats).Draw(t, "skews")
		used := make(map[int]int64)
		number := make(map[int]int64)
		busyUntil, owner := time.Time{}, -1
		now := time.Unix(rapid.Int64Range(0, 1_000_000).Draw(t, "start"), 0)
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(c.Length())).Draw(t, "step")))
			seat := rapid.IntRange(0, c.Seats-1).Draw(t, "seat")
			bytes := rapid.Int64Range(0, largest).Draw(t, "bytes")
			local := now.Add(time.Duration(skews[seat]) * time.Millisecond)
			if n := c.Number(local); n != number[seat] {
				number[seat], used[seat] = n, 0
			}
			if !c.Fits(local, seat, used[seat], bytes) {
				continue
			}
			if owner != seat && now.Before(busyUntil) {
				t.Fatalf("seat %d starts at %s while seat %d loads until %s", seat, now, owner, busyUntil)
			}
			used[seat] += bytes
			begin := now
			if busyUntil.After(begin) {
				begin = busyUntil
			}
			busyUntil, owner = begin.Add(time.Duration(bytes)*time.Second/store), seat
		}
	})
}

// TestEverySeatGetsTheLargestOrderThrough demands that no order waits for ever.
func TestEverySeatGetsTheLargestOrderThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := rapid.Int64Range(0, 1<<30).Draw(t, "store")
		largest := rapid.Int64Range(0, 1<<40).Draw(t, "largest")
		if store > 0 {
			largest = min(largest, store*int64(slot.Longest/time.Second)) // what a table may hold
		}
		c := slot.New(rapid.IntRange(1, 20).Draw(t, "seats"), store, largest)
		now := time.Unix(rapid.Int64Range(0, 1_000_000).Draw(t, "start"), 0)
		for seat := range c.Seats {
			found := false
			for at := now; at.Sub(now) <= time.Duration(c.Seats+1)*c.Length(); at = at.Add(max(time.Second, c.Length()/20)) {
				found = found || c.Fits(at, seat, 0, largest)
			}
			if !found {
				t.Fatalf("seat %d of %d never gets %d bytes through", seat, c.Seats, largest)
			}
		}
	})
}
