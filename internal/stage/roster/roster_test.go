package roster_test

// This file tests Roster.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/stage/roster"
)

var start = time.Unix(1000, 0)

// TestNamedInstances guards against naming an instance that cannot help: one that is cut off too,
// the asking one, or one that is gone.
func TestNamedInstances(t *testing.T) {
	g := NewWithT(t)
	r := roster.New()
	for address, unreachable := range map[string][]string{"near": nil, "far": nil, "cut": {"s"}, "cut elsewhere": {"t"}, "asking": nil, "gone": nil, "": nil} {
		centre := "a"
		if address == "far" {
			centre = "b"
		}
		at := start
		if address == "gone" {
			at = start.Add(-time.Second)
		}
		r.Record(relays.Relay{Address: address, Centre: centre}, unreachable, at)
	}
	asking := relays.Relay{Address: "asking", Centre: "a"}
	var names []string
	for _, named := range r.Name(asking, []string{"s"}, start) {
		names = append(names, named.Address)
	}
	g.Expect(names).To(ConsistOf("near", "far", "cut elsewhere"))
	g.Expect(r.Name(asking, []string{"s", "t"}, start)).To(HaveLen(2))
}

// TestLoadIsSpread guards against a few instances that serve all others of a large fleet, of which
// two thirds are cut off.
func TestLoadIsSpread(t *testing.T) {
	g := NewWithT(t)
	r := roster.New()
	for i := range 300 {
		var unreachable []string
		if i%3 > 0 {
			unreachable = []string{"s"}
		}
		r.Record(relays.Relay{Address: fmt.Sprint(i), Centre: fmt.Sprint(i % 2)}, unreachable, start)
	}
	named := make(map[string]int)
	for i := range 200 {
		list := r.Name(relays.Relay{Address: fmt.Sprint("c", i), Centre: fmt.Sprint(i % 2)}, []string{"s"}, start)
		g.Expect(len(list)).To(BeNumerically("<=", 12))
		for _, n := range list {
			named[n.Address]++
		}
	}
	g.Expect(named).To(HaveLen(100))
	for address, n := range named {
		g.Expect(n).To(BeNumerically("<", 60), address)
	}
}
