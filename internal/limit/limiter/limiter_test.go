package limiter_test

// This file tests that no cap or rate is exceeded under faults, and that most of
// it can be used from any instance.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// init fixes the seed of the generated schedules, so that every run gives the
// same result. The flag -rapid.seed overrides it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "12")
}

const backoff = 30 * time.Millisecond // wait of a client after a refusal

// startFleet starts n nodes with a quiet period of zero, as for a fleet with no
// process before it, and waits 1 s for their seats to open.
func (sim *simulation) startFleet(n, limit int, rate float64) []*node {
	var nodes []*node
	for seat := range n {
		nodes = append(nodes, sim.start(seat, 0, table(1, n, limit, rate)))
	}
	time.Sleep(time.Second)
	return nodes
}

func (sim *simulation) stop() {
	for _, n := range sim.nodes {
		n.stop()
	}
	time.Sleep(5 * time.Second) // until the calls in progress have ended
}

// generateLoad runs n clients that send one request of 100 ms after another, each
// to the nodes in a random order of its own. It returns the mean number of
// requests in flight.
func (sim *simulation) generateLoad(nodes []*node, n int, span time.Duration) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	var area time.Duration
	end := time.Now().Add(span)
	var callers sync.WaitGroup
	for range n {
		nodes := append([]*node(nil), nodes...)
		rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if !sim.request(nodes[i%len(nodes)], "acme", 100*time.Millisecond) {
					time.Sleep(backoff)
				}
			}
		})
	}
	const step = 10 * time.Millisecond
	for time.Now().Before(end) {
		time.Sleep(step)
		sim.locked(func() { area += step * time.Duration(sim.inFlight) })
	}
	callers.Wait()
	return float64(area) / float64(span)
}

// With fixed shares of a cap per instance, a client that uses few instances gets a
// fraction of the cap only, and none if the cap is smaller than the fleet.
// Borrowing must make most of the cap usable through any instance, and never
// more than the cap.
func TestWholeCapIsUsableFromAnyInstance(t *testing.T) {
	for _, n := range []int{1, 9, 420} {
		for _, limit := range []int{1, 2, 5, 100} {
			t.Run(fmt.Sprintf("%d instances, cap %d", n, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					sim := newSimulation()
					nodes := sim.startFleet(n, limit, 0)
					defer sim.stop()
					used := sim.generateLoad(nodes, limit+2, 2*time.Second)
					g.Expect(sim.maxInFlight()).To(BeNumerically("<=", limit))
					g.Expect(used/float64(limit)).To(BeNumerically(">=", 0.7), "share of the cap in use")
				})
			})
		}
	}
}

// Each seat has a token bucket for its part of a rate. All buckets together must
// not admit more than the rate and its burst, also for rates below the number of
// seats, and tokens of other seats must be reachable.
func TestRateHoldsOverTheFleet(t *testing.T) {
	for _, c := range []struct {
		n    int
		rate float64
	}{{1, 0.5}, {9, 0.5}, {9, 20}, {100, 5}} {
		t.Run(fmt.Sprintf("%d instances, %v/s", c.n, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimulation()
				nodes := sim.startFleet(c.n, 0, c.rate)
				defer sim.stop()
				time.Sleep(3 * time.Second)
				const span = 10 * time.Second
				sim.generateLoad(nodes, 10, span)
				allowed := c.rate*span.Seconds() + max(1, c.rate)
				g.Expect(float64(sim.admitted)).To(BeNumerically("<=", allowed))
				g.Expect(float64(sim.admitted)).To(BeNumerically(">=", 0.9*c.rate*span.Seconds()))
			})
		})
	}
}

// A seat gets a new holder while the old process still runs, for example because
// it was taken for dead. If both used the seat's units, the cap would be exceeded.
// The old process must close the seat: when a peer tells it of the new one, or
// after the isolation timeout if no answers reach it.
func TestReplacementWithPredecessorAlive(t *testing.T) {
	const heard, isolated = 3 * time.Second, 8 * time.Second
	for _, c := range []struct {
		name   string
		closed time.Duration
		cut    func(old string) func(from, to string) bool
	}{
		{"that hears of it", heard, func(string) func(string, string) bool { return func(string, string) bool { return false } }},
		{"that is cut off", isolated, func(old string) func(string, string) bool {
			return func(from, to string) bool { return from == old || to == old }
		}},
		{"whose answers are cut off", isolated, func(old string) func(string, string) bool {
			return func(_, to string) bool { return to == old }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimulation()
				nodes := sim.startFleet(3, 6, 0)
				defer sim.stop()
				old := nodes[0]
				sim.locked(func() { sim.cut = c.cut(old.name) })
				nodes = append(nodes, sim.start(0, quietPeriod, table(1, 3, 6, 0)))
				time.Sleep(c.closed)
				g.Expect(old.Open()).To(BeFalse())
				sim.generateLoad(nodes, 10, 2*quietPeriod)
				g.Expect(sim.maxInFlight()).To(BeNumerically("<=", 6))
				g.Expect(old.Open()).To(BeFalse())
				g.Expect(nodes[3].Open()).To(BeTrue())
			})
		})
	}
}

// A new table changes the cap while requests are in flight. Units that are in use
// or lent under the old cap must not be granted again under the new one.
func TestCapChangesWhileInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sim := newSimulation()
		nodes := sim.startFleet(3, 9, 0)
		defer sim.stop()
		for i, limit := range []int{4, 12, 1, 6} {
			for _, n := range nodes {
				n.tables.Activate(table(uint64(i+2), 3, limit, 0))
			}
			time.Sleep(time.Second) // until the requests admitted under a larger cap have ended
			sim.locked(func() { sim.highest = 0 })
			used := sim.generateLoad(nodes, 20, 2*time.Second)
			g.Expect(sim.maxInFlight()).To(BeNumerically("<=", limit))
			g.Expect(used).To(BeNumerically(">=", 0.7*float64(limit)))
		}
	})
}

// A change of the number of seats moves units to other seats. While one holder
// still follows the old table, it uses units that have moved away. Their new
// holders must not use these until the late one confirms the new table.
func TestSeatsChangeWhileOneHolderIsBehind(t *testing.T) {
	for _, cut := range []bool{true, false} {
		t.Run(fmt.Sprintf("cut off %v", cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimulation()
				nodes := sim.startFleet(3, 9, 0)
				defer sim.stop()
				late, next := nodes[2], table(2, 5, 9, 0)
				sim.locked(func() { sim.cut = func(from, to string) bool { return cut && (from == late.name || to == late.name) } })
				nodes[0].tables.Activate(next)
				nodes[1].tables.Activate(next)
				nodes = append(nodes, sim.start(3, quietPeriod, next), sim.start(4, quietPeriod, next))
				sim.generateLoad(nodes, 14, 2*quietPeriod)
				g.Expect(sim.maxInFlight()).To(BeNumerically("<=", 9))
				late.tables.Activate(next)
				sim.locked(func() { sim.cut = func(string, string) bool { return false } })
				time.Sleep(quietPeriod)
				used := sim.generateLoad(nodes, 20, 2*time.Second)
				g.Expect(sim.maxInFlight()).To(BeNumerically("<=", 9))
				g.Expect(used).To(BeNumerically(">=", 0.7*9))
			})
		})
	}
}

// event is one fault of a generated schedule.
type event struct {
	after time.Duration
	kind  int // 0 cut off, 1 reconnect all, 2 restart, 3 pause, 4 change the cap
	seat  int
	span  time.Duration
	limit int
}

func drawEvents(r *rapid.T, seats int) []event {
	var events []event
	for range rapid.IntRange(1, 8).Draw(r, "events") {
		events = append(events, event{
			after: time.Duration(rapid.IntRange(0, 2000).Draw(r, "after")) * time.Millisecond,
			kind:  rapid.IntRange(0, 4).Draw(r, "kind"),
			seat:  rapid.IntRange(0, seats-1).Draw(r, "seat"),
			span:  time.Duration(rapid.IntRange(1, 12).Draw(r, "span")) * time.Second,
			limit: rapid.IntRange(1, 5).Draw(r, "limit"),
		})
	}
	return events
}

// TestCapHoldsUnderAnySchedule generates schedules that cut off, kill, restart and
// pause processes and give a changed cap to some processes only. In no
// combination may more requests be in flight than the largest cap of the schedule.
func TestCapHoldsUnderAnySchedule(t *testing.T) {
	const seats = 4
	rapid.Check(t, func(r *rapid.T) {
		first := rapid.IntRange(1, 5).Draw(r, "cap")
		events := drawEvents(r, seats)
		highest, most := 0, first
		for _, e := range events {
			if e.kind == 4 {
				most = max(most, e.limit)
			}
		}
		synctest.Test(t, func(*testing.T) { highest = runSchedule(first, seats, events) })
		if highest > most {
			r.Fatalf("got %d in flight, want at most %d", highest, most)
		}
	})
}

func runSchedule(limit, seats int, events []event) int {
	sim := newSimulation()
	nodes := sim.startFleet(seats, limit, 0)
	defer sim.stop()
	total := quietPeriod + 5*time.Second
	for _, e := range events {
		total += e.after
	}
	for caller := range 7 {
		go func() {
			for end := time.Now().Add(total); time.Now().Before(end); {
				var n *node
				sim.locked(func() { n = nodes[caller%seats] })
				if !sim.request(n, "acme", time.Duration(100+caller*37)*time.Millisecond) {
					time.Sleep(backoff)
				}
			}
		}()
	}
	current := table(1, seats, limit, 0)
	for i, e := range events {
		time.Sleep(e.after)
		switch e.kind {
		case 0:
			name := nodes[e.seat].name
			sim.locked(func() { sim.cut = func(from, to string) bool { return from == name || to == name } })
		case 1:
			sim.locked(func() { sim.cut = func(string, string) bool { return false } })
		case 2:
			nodes[e.seat].kill()
			n := sim.start(e.seat, quietPeriod, current)
			sim.locked(func() { nodes[e.seat] = n })
		case 3:
			wake := nodes[e.seat].pause()
			time.AfterFunc(e.span, wake)
		case 4:
			current = table(uint64(i+2), seats, e.limit, 0)
			for _, n := range nodes[e.seat:] {
				n.tables.Activate(current)
			}
		}
	}
	time.Sleep(quietPeriod + 20*time.Second) // until paused nodes have resumed and the clients have ended
	return sim.maxInFlight()
}
