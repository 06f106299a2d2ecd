package usage_test

// This file tests the counting of units and tokens at one seat.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/limit/usage"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A borrower that dies never returns its unit. The unit must become free again
// when the loan expires, and only then.
func TestLentUnitIsFreeAfterItsExpiry(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	until := start.Add(10 * time.Second)
	g.Expect(s.Lend(1, 1, until, start)).To(BeTrue())
	g.Expect(s.Lend(1, 1, until, start)).To(BeTrue(), "the same permit requested a second time")
	g.Expect(s.Acquire(1, until.Add(-1))).To(BeFalse())
	g.Expect(s.Acquire(1, until)).To(BeTrue())
	g.Expect(s.Acquire(1, until)).To(BeFalse())
	s.Release(until)
	g.Expect(s.Acquire(1, until)).To(BeTrue())
}

// A paused process may handle the return of a permit before the request for it.
// Lending the unit then would keep it in use until the loan expires.
func TestReturnBeforeItsLoan(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	s.Return(1, start)
	g.Expect(s.Lend(1, 1, start.Add(time.Hour), start)).To(BeFalse())
	g.Expect(s.Acquire(1, start)).To(BeTrue(), "the unit must still be free")
}

// When a cap is lowered below the number of requests in flight, no request may
// be admitted until enough of them have ended.
func TestLoweredCapAdmitsNoneUntilBelow(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	for range 3 {
		g.Expect(s.Acquire(3, start)).To(BeTrue())
	}
	s.Release(start)
	g.Expect(s.Acquire(2, start)).To(BeFalse())
	s.Release(start)
	g.Expect(s.Acquire(2, start)).To(BeTrue())
}

// The previous holder of a seat may have spent all tokens just before it was
// replaced. A bucket that starts full would admit the burst a second time.
func TestBucketStartsEmpty(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	g.Expect(s.TakeToken(2, 2, start, start.Add(400*time.Millisecond))).To(BeFalse(), "the previous process may have spent the tokens")
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeTrue())
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeTrue())
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeFalse())
}

// Discarding a Usage before its bucket is full again would refund the tokens
// that were spent.
func TestIdleOnceTheBucketIsFull(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	g.Expect(s.TakeToken(0.01, 1, start.Add(-time.Hour), start)).To(BeTrue())
	g.Expect(s.Idle(start.Add(99*time.Second), time.Minute)).To(BeFalse())
	g.Expect(s.Idle(start.Add(100*time.Second), time.Minute)).To(BeTrue())
}

// A request for a loan that arrives a second time, after the loan has expired, must not
// be answered as lent: the unit may be in use by then.
func TestExpiredLoanIsNotLent(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	until := start.Add(10 * time.Second)
	g.Expect(s.Lend(1, 1, until, start)).To(BeTrue())
	g.Expect(s.Lend(1, 1, until, until)).To(BeFalse())
}
