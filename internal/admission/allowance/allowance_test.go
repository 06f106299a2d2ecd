package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/allowance"
)

const (
	share  = 0.2
	window = 10 * time.Second
)

// TestSumOfManyInstancesKeepsTheShare replays an outage in which all requests
// fail and each instance repeats as often as it may, in bursts of a few
// seconds. In every window the repeats of all stay within the share of the
// requests, and one for each instance.
func TestSumOfManyInstancesKeepsTheShare(t *testing.T) {
	const instances = 86
	rng := rand.New(rand.NewPCG(1, 1))
	all := make([]*allowance.Allowance, instances)
	for i := range all {
		all[i] = allowance.New(share, 1, window)
	}
	type count struct{ firsts, repeats int }
	var history []count // by 100 ms
	now := time.Unix(1000, 0)
	for step := range 600 {
		var c count
		rate := 20
		if step/30%2 == 0 {
			rate = 2
		}
		for range rate {
			a := all[rng.IntN(instances)]
			a.First("s", now)
			c.firsts++
			for a.Repeat("s", now) {
				c.repeats++
			}
		}
		history = append(history, c)
		now = now.Add(100 * time.Millisecond)
	}
	for from := 0; from+100 <= len(history); from++ {
		firsts, repeats := 0, 0
		for _, c := range history[from : from+100] {
			firsts += c.firsts
			repeats += c.repeats
		}
		before := 0 // requests are counted in that window or the one before it, whichever has more
		for _, c := range history[max(0, from-100):from] {
			before += c.firsts
		}
		bound := share*float64(max(firsts, before)) + instances
		NewWithT(t).Expect(float64(repeats)).To(BeNumerically("<=", bound), "window from %d", from)
	}
}

func TestServicesAreApart(t *testing.T) {
	g := NewWithT(t)
	a := allowance.New(share, 1, window)
	now := time.Unix(1000, 0)
	for range 10 {
		a.First("s", now)
	}
	for range 3 {
		g.Expect(a.Repeat("s", now)).To(BeTrue())
	}
	g.Expect(a.Repeat("s", now)).To(BeFalse())
	g.Expect(a.Repeat("other", now)).To(BeTrue(), "the one to spare")
	g.Expect(a.Repeat("other", now)).To(BeFalse())
	g.Expect(a.Repeat("s", now.Add(2*window))).To(BeTrue(), "long after")
}
