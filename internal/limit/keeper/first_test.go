package keeper_test

// This file checks when a process that has just started may use its seat.

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestFirstStartServesSoon starts a whole fleet at once: nothing is in doubt,
// so nobody waits for the quiet period.
func TestFirstStartServesSoon(t *testing.T) {
	for _, seats := range []int{2, 9, 16} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld()
			defer w.stop()
			var nodes []*node
			for seat := range seats {
				nodes = append(nodes, w.start(seat, quiet, table(1, seats, 4, 0)))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			for _, n := range nodes {
				g.Expect(n.Open()).To(BeTrue(), "%s of %d seats, 1 s after the last start", n.name, seats)
			}
		})
	}
}

// TestReplacementWaits restarts one seat, at a time when the fleet is still
// young and when it no longer is. What the old process admitted may still run,
// so the new one waits.
func TestReplacementWaits(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, quiet / 2, 2 * quiet} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld()
			defer w.stop()
			var nodes []*node
			for seat := range 3 {
				nodes = append(nodes, w.start(seat, quiet, table(1, 3, 4, 0)))
			}
			time.Sleep(after)
			g.Expect(nodes[1].Open()).To(BeTrue())
			nodes[1].kill()
			next := w.start(1, quiet, table(1, 3, 4, 0))
			time.Sleep(quiet - time.Second)
			g.Expect(next.Open()).To(BeFalse(), "replaced %s after the start of the fleet", after)
			time.Sleep(3 * time.Second)
			g.Expect(next.Open()).To(BeTrue())
		})
	}
}

// TestLateStarterWaits starts a seat beside a fleet that has long run, and one
// that cannot reach the others.
func TestLateStarterWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.stop()
		w.start(0, quiet, table(1, 3, 4, 0))
		w.start(1, quiet, table(1, 3, 4, 0))
		time.Sleep(2 * quiet)
		late := w.start(2, quiet, table(1, 3, 4, 0))
		time.Sleep(quiet - time.Second)
		g.Expect(late.Open()).To(BeFalse())
	})
}
