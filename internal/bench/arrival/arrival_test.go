package arrival_test

// This file tests the rates of the arrival process.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
)

// TestRatesFollowStepsAndBursts guards against arrivals that spill over a change of the
// rate, for example into a step of rate zero, and against times that differ between runs
// with the same seed.
func TestRatesFollowStepsAndBursts(t *testing.T) {
	g := NewWithT(t)
	steps := []arrival.Step{{Rate: 100, Length: 20 * time.Second}, {Rate: 0, Length: time.Second}, {Rate: 300, Length: 10 * time.Second}}
	bursts := []arrival.Burst{{At: 5 * time.Second, Length: 2 * time.Second, Factor: 5}}
	draw := func(seed uint64) (all []arrival.Arrival) {
		p := arrival.New(steps, bursts, seed)
		for a, ok := p.Next(); ok; a, ok = p.Next() {
			all = append(all, a)
		}
		return all
	}
	all := draw(1)
	count := func(from, to time.Duration) (n int) {
		for _, a := range all {
			if a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	// The tolerance is five standard deviations of the expected number.
	g.Expect(count(0, 5*time.Second)).To(BeNumerically("~", 500, 112))
	g.Expect(count(5*time.Second, 7*time.Second)).To(BeNumerically("~", 1000, 158))
	g.Expect(count(20*time.Second, 21*time.Second)).To(BeZero())
	g.Expect(count(21*time.Second, 31*time.Second)).To(BeNumerically("~", 3000, 274))
	for i, a := range all[1:] {
		g.Expect(a.At).To(BeNumerically(">=", all[i].At))
	}
	g.Expect(draw(1)).To(Equal(all))
	g.Expect(draw(2)).NotTo(Equal(all))
}
