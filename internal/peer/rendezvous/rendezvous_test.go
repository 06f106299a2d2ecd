package rendezvous_test

// This file tests Choose and Rank with as many names as the fleet has instances.

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("entry-%d", i)
	}
	return out
}

// TestChooseChangesAtMostOneWhenANameLeaves guards against a hash that makes
// many instances replace their peers whenever one instance leaves.
func TestChooseChangesAtMostOneWhenANameLeaves(t *testing.T) {
	g := NewWithT(t)
	all := names(420)
	for _, self := range all[:4] {
		before := rendezvous.Choose(self, all, 4)
		for i, gone := range all {
			after := rendezvous.Choose(self, slices.Delete(slices.Clone(all), i, i+1), 4)
			added := 0
			for _, n := range after {
				if !slices.Contains(before, n) {
					added++
				}
			}
			g.Expect(added).To(BeNumerically("<=", 1))
			g.Expect(after).NotTo(ContainElement(gone))
		}
	}
}

func TestRankAgreesWithChoose(t *testing.T) {
	g := NewWithT(t)
	all := names(50)
	for want, name := range rendezvous.Choose("version 7", all, len(all)) {
		g.Expect(rendezvous.Rank("version 7", name, all)).To(Equal(want))
	}
}

// hops returns the greatest distance, in links, between any two instances that
// are not dead, or -1 if one cannot reach another. Each instance links to the
// fanOut names that it chooses; a link is used in both directions.
func hops(all []string, fanOut int, dead map[string]bool) int {
	links := map[string][]string{}
	for _, a := range all {
		if dead[a] {
			continue
		}
		for _, b := range rendezvous.Choose(a, slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == a }), fanOut) {
			if !dead[b] {
				links[a] = append(links[a], b)
				links[b] = append(links[b], a)
			}
		}
	}
	longest := 0
	for _, from := range all {
		if dead[from] {
			continue
		}
		distance := map[string]int{from: 0}
		queue := []string{from}
		for len(queue) > 0 {
			at := queue[0]
			queue = queue[1:]
			for _, to := range links[at] {
				if _, ok := distance[to]; !ok {
					distance[to] = distance[at] + 1
					longest = max(longest, distance[to])
					queue = append(queue, to)
				}
			}
		}
		if len(distance) != len(all)-len(dead) {
			return -1
		}
	}
	return longest
}

// TestLinksReachTheFleetInFewHops is the reason for a fan-out of 4: if each of
// 420 instances chooses 4 links, all instances are within 6 hops of each other.
// That also holds while one data centre of 42 instances is dead and no other
// instance has detected it yet.
func TestLinksReachTheFleetInFewHops(t *testing.T) {
	g := NewWithT(t)
	all := names(420)
	dead := map[string]bool{}
	for _, n := range all[42:84] {
		dead[n] = true
	}
	g.Expect(hops(all, 4, nil)).To(And(BeNumerically(">", 0), BeNumerically("<=", 6)))
	g.Expect(hops(all, 4, dead)).To(And(BeNumerically(">", 0), BeNumerically("<=", 6)))
}

// BenchmarkHops reports the number of hops for other fan-outs.
func BenchmarkHops(b *testing.B) {
	all := names(420)
	dead := map[string]bool{}
	for _, n := range all[42:84] {
		dead[n] = true
	}
	for _, fanOut := range []int{2, 3, 4, 6, 8} {
		b.Run(fmt.Sprint(fanOut), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(hops(all, fanOut, nil)), "hops")
				b.ReportMetric(float64(hops(all, fanOut, dead)), "hops-42-dead")
			}
		})
	}
}
