package concurrency_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/admission/concurrency"
)

// TestLimitFollowsLatency guards against a limit that does not grow while calls
// succeed, or that stays high when calls get ten times slower or fail.
func TestLimitFollowsLatency(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	var c concurrency.AdaptiveLimit
	start := c.Limit()
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		c.RecordSuccess(100*time.Millisecond, c.Limit(), now)
	}
	grown := c.Limit()
	g.Expect(grown).To(BeNumerically(">", start))
	for range 20 {
		now = now.Add(time.Second)
		c.RecordSuccess(time.Second, grown, now)
	}
	g.Expect(c.Limit()).To(BeNumerically("<", grown/2), "after calls got ten times slower")
	for range 100 {
		now = now.Add(time.Second)
		c.RecordFailure(now)
	}
	g.Expect(c.Limit()).To(Equal(1))
}

// TestIdleEndpointDoesNotGrow guards against a limit that grows although it was never
// reached: it would allow a burst that the endpoint has not been shown to bear.
func TestIdleEndpointDoesNotGrow(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	var c concurrency.AdaptiveLimit
	start := c.Limit()
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		c.RecordSuccess(100*time.Millisecond, 1, now)
	}
	g.Expect(c.Limit()).To(Equal(start))
}

// TestSharesAddUp checks that the shares of all seats add up to the limit, and that
// they differ by at most one.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		seats := rapid.IntRange(1, 420).Draw(t, "seats")
		name := rapid.String().Draw(t, "name")
		sum, smallest, largest := 0, limit, 0
		for seat := range seats {
			n := concurrency.Share(limit, seat, seats, name)
			sum += n
			smallest, largest = min(smallest, n), max(largest, n)
		}
		if sum != limit || largest-smallest > 1 {
			t.Fatalf("got sum %d and shares of %d to %d, want %d", sum, smallest, largest, limit)
		}
	})
	g := NewWithT(t)
	g.Expect(concurrency.Share(16, -1, 3, "e")).To(BeZero())
	g.Expect(concurrency.Share(16, 3, 3, "e")).To(BeZero())
}
