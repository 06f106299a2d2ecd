package limiter_test

// This file compares the scheme of this package, seats with borrowing, with two
// simpler ones: a fixed share of the cap for each instance, and one counting
// instance per account, chosen by hash from the list of instances.
//
//	go test ./internal/limit/limiter -run TestWeigh -v -weigh
//
// runs all cases and prints their figures. Without the flag -weigh, a part of the
// cases is run and checked.

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
)

var allCells = flag.Bool("weigh", false, "measure every cell of the comparison")

// scheme admits requests at node i of a fleet. The request ends when release is called.
type scheme interface {
	acquire(i int) (release func(), ok bool)
}

// fixed gives each instance a fixed share of the cap.
type fixed struct {
	limit int

	mu    sync.Mutex
	share []int
}

func newFixed(n, limit int) *fixed {
	f := &fixed{limit: limit, share: make([]int, n)}
	for i := range f.share {
		f.share[i] = limit / n
		if i < limit%n {
			f.share[i]++
		}
	}
	return f
}

func (f *fixed) acquire(i int) (func(), bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.share[i] == 0 {
		return nil, false
	}
	f.share[i]--
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.share[i]++
	}, true
}

// home counts the requests of an account at one instance, its home, which is
// chosen by the hash of the account from the list of instances that the admitting
// instance has.
type home struct {
	limit int

	mu    sync.Mutex
	lists [][]string
	used  map[string]int // requests in flight by home
	cut   func(from, to int) bool
}

func newHome(n, limit int) *home {
	h := &home{limit: limit, used: map[string]int{}, cut: func(int, int) bool { return false }}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint(i))
	}
	for range n {
		h.lists = append(h.lists, names)
	}
	return h
}

func (h *home) homeOf(i int) (name string, number int) {
	name = rendezvous.Choose("acme", h.lists[i], 1)[0]
	fmt.Sscan(name, &number)
	return name, number
}

func (h *home) acquire(i int) (func(), bool) {
	time.Sleep(2 * delay)
	h.mu.Lock()
	defer h.mu.Unlock()
	name, number := h.homeOf(i)
	if h.cut(i, number) || h.used[name] >= h.limit {
		return nil, false
	}
	h.used[name]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.used[name] = max(0, h.used[name]-1)
	}, true
}

// seated is the scheme of this package, run in a simulation.
type seated struct {
	sim   *simulation
	nodes []*node
}

func (s *seated) acquire(i int) (func(), bool) {
	var n *node
	s.sim.locked(func() { n = s.nodes[i] })
	n.awake()
	release, err := n.Acquire(context.Background(), n.tables.Current().Account("acme"), time.Now().Add(deadline))
	return release, err == nil
}

// load sends requests of 500 ms to varying nodes and counts the requests in flight.
type load struct {
	mu       sync.Mutex
	inFlight int
	highest  int
}

func (l *load) add(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
	l.highest = max(l.highest, l.inFlight)
	return l.inFlight
}

func (l *load) generate(s scheme, n, callers int, span time.Duration) (used float64) {
	end := time.Now().Add(span)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c * 7919; time.Now().Before(end); i += 31 {
				release, ok := s.acquire(i % n)
				if !ok {
					time.Sleep(backoff)
					continue
				}
				l.add(1)
				time.Sleep(500 * time.Millisecond)
				l.add(-1)
				release()
			}
		})
	}
	var area time.Duration
	const step = 20 * time.Millisecond
	for time.Now().Before(end) {
		time.Sleep(step)
		area += step * time.Duration(l.add(0))
	}
	wg.Wait()
	return float64(area) / float64(span)
}

// faults of the comparison. Each begins in the middle of the third request of a client.
var faults = []string{"none", "partition", "lists differ", "restart", "pause"}

// injectFault injects a fault into a scheme with n nodes. A fault of one instance
// affects one that has units in use, or the home of the account.
func injectFault(s scheme, n int, fault string) {
	time.Sleep(1250 * time.Millisecond)
	switch s := s.(type) {
	case *fixed:
		if fault == "restart" {
			s.mu.Lock()
			s.share[0] = newFixed(n, s.limit).share[0]
			s.mu.Unlock()
		}
	case *home:
		s.injectFault(n, fault)
	case *seated:
		s.injectFault(n, fault)
	}
}

func (h *home) injectFault(n int, fault string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name, number := h.homeOf(0)
	left := func(i int) bool { return i < n/2 }
	without := slices.DeleteFunc(slices.Clone(h.lists[0]), func(s string) bool { return s == name })
	switch fault {
	case "partition": // 3 s later, each side's lists contain that side only
		h.cut = func(from, to int) bool { return left(from) != left(to) }
		time.AfterFunc(3*time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			for i := range h.lists {
				h.lists[i] = slices.DeleteFunc(slices.Clone(h.lists[i]), func(s string) bool {
					var k int
					fmt.Sscan(s, &k)
					return left(k) != left(i)
				})
			}
		})
	case "lists differ":
		for i := n / 2; i < n; i++ {
			h.lists[i] = without
		}
	case "restart":
		h.used[name] = 0
	case "pause": // the others remove it from their lists; it goes on to count
		for i := range h.lists {
			if i != number {
				h.lists[i] = without
			}
		}
	}
}

func (s *seated) injectFault(n int, fault string) {
	sim := s.sim
	side := map[string]bool{}
	for _, node := range s.nodes[:n/2] {
		side[node.name] = true
	}
	holder := s.nodes[0]
	for _, node := range s.nodes {
		if own, lent := node.InUse("acme"); own+lent > 0 {
			holder = node
		}
	}
	seat := holder.self.Seat
	switch fault {
	case "partition":
		sim.locked(func() { sim.cut = func(from, to string) bool { return side[from] != side[to] } })
	case "lists differ":
		sim.locked(func() { sim.holders[seat] = nil })
	case "restart":
		holder.kill()
		next := sim.start(seat, quietPeriod, table(1, n, holder.tables.Current().Account("acme").Cap, 0))
		sim.locked(func() { s.nodes[seat] = next })
	case "pause":
		wake := holder.pause()
		time.AfterFunc(5*time.Second, wake)
	}
}

type cell struct {
	scheme, fault string
	n, limit      int
	used          float64 // share of the cap
	over          int     // most requests in flight above the cap
}

func measure(t *testing.T, name, fault string, n, limit int) cell {
	c := cell{scheme: name, fault: fault, n: n, limit: limit}
	synctest.Test(t, func(*testing.T) {
		var s scheme
		switch name {
		case "fixed":
			s = newFixed(n, limit)
		case "home":
			s = newHome(n, limit)
		default:
			sim := newSimulation()
			s = &seated{sim: sim, nodes: sim.startFleet(n, limit, 0)}
			defer sim.stop()
		}
		l := &load{}
		go injectFault(s, n, fault)
		used := l.generate(s, n, 2*limit+4, 15*time.Second)
		c.used, c.over = used/float64(limit), max(0, l.highest-limit)
	})
	return c
}

func TestWeigh(t *testing.T) {
	sizes, limits := []int{9}, []int{1, 5}
	if *allCells {
		sizes, limits = []int{9, 420}, []int{1, 2, 5, 100}
	}
	g := NewWithT(t)
	var b strings.Builder
	b.WriteString("| Instances | Cap | Fault | fixed: share, over | home: share, over | seats: share, over |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	homeOver := 0
	for _, n := range sizes {
		for _, limit := range limits {
			for _, fault := range faults {
				fmt.Fprintf(&b, "| %d | %d | %s |", n, limit, fault)
				for _, name := range []string{"fixed", "home", "seats"} {
					c := measure(t, name, fault, n, limit)
					fmt.Fprintf(&b, " %.2f, %d |", c.used, c.over)
					switch name {
					case "home":
						homeOver = max(homeOver, c.over)
					case "seats":
						g.Expect(c.over).To(BeZero(), "%+v", c)
					}
				}
				b.WriteString("\n")
			}
		}
	}
	t.Log("\n" + b.String())
	g.Expect(homeOver).To(BeNumerically(">", 0), "the comparison should show a cap exceeded by the home scheme")
}
