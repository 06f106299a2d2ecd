package retrylimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/retrylimit"
)

const (
	share  = 0.2
	window = 10 * time.Second
)

// TestRetriesOfAllInstancesStayWithinShare guards against retries that multiply the
// load during an outage. All requests fail, they arrive in bursts of a few seconds,
// and each instance retries as often as its limiter allows. In every window, the
// retries of all instances must stay within the share of the requests, plus one
// retry for each instance.
func TestRetriesOfAllInstancesStayWithinShare(t *testing.T) {
	const instances = 86
	rng := rand.New(rand.NewPCG(1, 1))
	all := make([]*retrylimit.Limiter, instances)
	now := time.Hour
	for i := range all {
		all[i] = retrylimit.New(share, 1, window, func() time.Duration { return now }, tally.NoopScope)
	}
	type count struct{ firstAttempts, retries int }
	var history []count // one element for each 100 ms
	for step := range 600 {
		var c count
		rate := 20
		if step/30%2 == 0 {
			rate = 2
		}
		for range rate {
			a := all[rng.IntN(instances)]
			a.RecordFirstAttempt("s")
			c.firstAttempts++
			for a.AllowRetry("s") {
				c.retries++
			}
		}
		history = append(history, c)
		now += 100 * time.Millisecond
	}
	for from := 0; from+100 <= len(history); from++ {
		firstAttempts, retries := 0, 0
		for _, c := range history[from : from+100] {
			firstAttempts += c.firstAttempts
			retries += c.retries
		}
		before := 0 // A retry may count against requests of the previous window, so the bound takes the larger of both counts.
		for _, c := range history[max(0, from-100):from] {
			before += c.firstAttempts
		}
		bound := share*float64(max(firstAttempts, before)) + instances
		NewWithT(t).Expect(float64(retries)).To(BeNumerically("<=", bound), "window from %d", from)
	}
}

// TestRetriesAfterACalmStayWithinShare guards against a burst of retries that is allowed by more first attempts
// than one window has: nothing fails for long, and then everything at once.
func TestRetriesAfterACalmStayWithinShare(t *testing.T) {
	const perSlice = 100
	for offset := range 10 {
		now := time.Hour
		l := retrylimit.New(share, 0, window, func() time.Duration { return now }, tally.NoopScope)
		for range 300 + offset {
			for range perSlice / 10 {
				l.RecordFirstAttempt("s")
			}
			now += window / 100
		}
		retries := 0
		for l.AllowRetry("s") {
			retries++
		}
		NewWithT(t).Expect(float64(retries)).To(BeNumerically("<=", share*10*perSlice), "%d hundredths of a window later", offset)
	}
}

// TestRetriesAroundABurstStayWithinShare guards against retries that a burst of requests allows and that come together in a
// window with few of its requests: everything fails from some moment of the burst, or after it, on. The retries of each window must
// stay within the share of the requests of that window, of the one before it, or of the one half a window before it, whichever has most.
func TestRetriesAroundABurstStayWithinShare(t *testing.T) {
	const steps, perWindow, begin = 600, 100, 300
	for length := 20; length <= 150; length += 26 {
		for failed := begin; failed <= begin+length+50; failed += 13 {
			now := time.Hour
			l := retrylimit.New(share, 0, window, func() time.Duration { return now }, tally.NoopScope)
			var requests, retries [steps]int
			for step := range steps {
				requests[step] = 5
				if step >= begin && step < begin+length {
					requests[step] = 50
				}
				for range requests[step] {
					l.RecordFirstAttempt("s")
				}
				for step >= failed && l.AllowRetry("s") {
					retries[step]++
				}
				now += window / perWindow
			}
			for from := perWindow; from+perWindow <= steps; from++ {
				most := 0
				for _, before := range []int{0, perWindow / 2, perWindow} {
					most = max(most, sum(requests[from-before:from-before+perWindow]))
				}
				n := sum(retries[from : from+perWindow])
				NewWithT(t).Expect(float64(n)).To(BeNumerically("<=", share*float64(most)), "burst of %d steps, failures from %d, window from %d", length, failed, from)
			}
		}
	}
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestServicesAreIndependent guards against retries to one service that use up the
// limit of another.
func TestServicesAreIndependent(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0) // the machine has just booted
	l := retrylimit.New(share, 1, window, func() time.Duration { return now }, tally.NoopScope)
	for range 10 {
		l.RecordFirstAttempt("s")
	}
	for range 3 {
		g.Expect(l.AllowRetry("s")).To(BeTrue())
	}
	g.Expect(l.AllowRetry("s")).To(BeFalse())
	g.Expect(l.AllowRetry("other")).To(BeTrue(), "the extra retry")
	g.Expect(l.AllowRetry("other")).To(BeFalse())
	now += 2 * window
	g.Expect(l.AllowRetry("s")).To(BeTrue(), "after the window has passed")
}
