package limiter_test

// This file tests when a process that has just started may use its seat.

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestFirstStartServesSoon starts a whole fleet at once. No earlier process can
// still be using a seat, so no process may wait for the quiet period, during
// which the fleet would refuse all requests of accounts with limits.
func TestFirstStartServesSoon(t *testing.T) {
	for _, seats := range []int{2, 9, 16} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation()
			defer sim.stop()
			var nodes []*node
			for seat := range seats {
				nodes = append(nodes, sim.start(seat, quietPeriod, table(1, seats, 4, 0)))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			for _, n := range nodes {
				g.Expect(n.Open()).To(BeTrue(), "%s of %d seats, 1 s after the last start", n.name, seats)
			}
		})
	}
}

// TestReplacementWaits kills and restarts the holder of one seat, within the
// quiet period of the fleet's first start and after it. Requests that the old
// process admitted may still run at the endpoints, so the new process must not
// use the seat before its own quiet period is over, or the cap is exceeded.
func TestReplacementWaits(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, quietPeriod / 2, 2 * quietPeriod} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation()
			defer sim.stop()
			var nodes []*node
			for seat := range 3 {
				nodes = append(nodes, sim.start(seat, quietPeriod, table(1, 3, 4, 0)))
			}
			time.Sleep(after)
			g.Expect(nodes[1].Open()).To(BeTrue())
			nodes[1].kill()
			next := sim.start(1, quietPeriod, table(1, 3, 4, 0))
			time.Sleep(quietPeriod - time.Second)
			g.Expect(next.Open()).To(BeFalse(), "replaced %s after the start of the fleet", after)
			time.Sleep(3 * time.Second)
			g.Expect(next.Open()).To(BeTrue())
		})
	}
}

// TestLateStarterWaits starts the holder of a seat in a fleet that has run for
// longer than the quiet period. The others have not seen a holder of that seat,
// but there may have been one before them, so the new process must wait.
func TestLateStarterWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sim := newSimulation()
		defer sim.stop()
		sim.start(0, quietPeriod, table(1, 3, 4, 0))
		sim.start(1, quietPeriod, table(1, 3, 4, 0))
		time.Sleep(2 * quietPeriod)
		late := sim.start(2, quietPeriod, table(1, 3, 4, 0))
		time.Sleep(quietPeriod - time.Second)
		g.Expect(late.Open()).To(BeFalse())
	})
}
