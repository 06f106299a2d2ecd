package usage_test

// This file checks the counting of units and tokens at one seat.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/limit/usage"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestLentUnitComesBackAtItsTime(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	until := start.Add(10 * time.Second)
	g.Expect(s.Lend(1, 1, until, start)).To(BeTrue())
	g.Expect(s.Lend(1, 1, until, start)).To(BeTrue(), "the same permit asked again")
	g.Expect(s.Acquire(1, until.Add(-1))).To(BeFalse())
	g.Expect(s.Acquire(1, until)).To(BeTrue())
	g.Expect(s.Acquire(1, until)).To(BeFalse())
	s.Release(until)
	g.Expect(s.Acquire(1, until)).To(BeTrue())
}

func TestReturnBeforeItsLoan(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	s.Return(1, start)
	g.Expect(s.Lend(1, 1, start.Add(time.Hour), start)).To(BeFalse())
	g.Expect(s.Acquire(1, start)).To(BeTrue(), "the unit is not lost")
}

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

func TestTokensStartFromNone(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	g.Expect(s.TakeToken(2, 2, start, start.Add(400*time.Millisecond))).To(BeFalse(), "the predecessor may have spent them")
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeTrue())
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeTrue())
	g.Expect(s.TakeToken(2, 2, start, start.Add(time.Second))).To(BeFalse())
}

func TestIdleOnceTheTokensAreWhole(t *testing.T) {
	g := NewWithT(t)
	s := usage.New()
	g.Expect(s.TakeToken(0.01, 1, start.Add(-time.Hour), start)).To(BeTrue())
	g.Expect(s.Idle(start.Add(99*time.Second), time.Minute)).To(BeFalse())
	g.Expect(s.Idle(start.Add(100*time.Second), time.Minute)).To(BeTrue())
}
