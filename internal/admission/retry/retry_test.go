package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
)

var share = retry.Shares{Retry: 0.1, Hedge: 0.02}

// TestExtraWorkStaysWithinTheShare guards against retries and hedges that multiply the
// load: they must stay within their shares of the first attempts, and a retry must
// still be possible up to that share.
func TestExtraWorkStaysWithinTheShare(t *testing.T) {
	g := NewWithT(t)
	b := retry.New()
	const firstAttempts, initialRetries = 10_000, 3
	retries, hedges := 0, 0
	for range firstAttempts {
		b.RecordFirstAttempt(share)
		if b.AllowHedge(0.5) {
			hedges++
		}
		for b.AllowRetry() {
			retries++
		}
	}
	g.Expect(retries + hedges).To(BeNumerically("<=", firstAttempts*share.Retry+initialRetries))
	g.Expect(retries + hedges).To(BeNumerically(">=", 0.99*firstAttempts*share.Retry))
	g.Expect(hedges).To(BeNumerically("<=", firstAttempts*share.Hedge))
}

// TestNoHedgeAtOverload guards against hedges that add load to a role with no spare
// capacity.
func TestNoHedgeAtOverload(t *testing.T) {
	g := NewWithT(t)
	b := retry.New()
	for range 1000 {
		b.RecordFirstAttempt(share)
	}
	g.Expect(b.AllowHedge(retry.Overload)).To(BeFalse())
	g.Expect(b.AllowHedge(retry.Overload - 0.01)).To(BeTrue())
}

// TestSavedRetriesAreBounded guards against a burst of retries after a long time
// without failures.
func TestSavedRetriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := retry.New()
	for range 1_000_000 {
		b.RecordFirstAttempt(share)
	}
	n := 0
	for b.AllowRetry() {
		n++
	}
	g.Expect(n).To(BeNumerically("<=", 50))
}

func TestDelay(t *testing.T) {
	for _, c := range []struct {
		name                   string
		mean, deviation, slack time.Duration
		costWeight             float64
		want                   time.Duration
	}{
		{"usual latency", time.Second, 100 * time.Millisecond, 0, 0, 1400 * time.Millisecond},
		{"minimum delay", time.Microsecond, 0, 0, 0, 20 * time.Millisecond},
		{"slack before the deadline", time.Second, 0, 6 * time.Second, 0.5, 3 * time.Second},
		{"no slack", time.Second, 0, -6 * time.Second, 0.5, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := retry.HedgeDelay(c.mean, c.deviation, c.slack, c.costWeight)
			g.Expect(ok).To(BeTrue())
			g.Expect(got).To(Equal(c.want))
		})
	}
	_, ok := retry.HedgeDelay(0, 0, time.Second, 1)
	NewWithT(t).Expect(ok).To(BeFalse(), "without measurements")
}
