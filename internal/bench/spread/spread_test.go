package spread_test

// This file runs a short version of the measurement and holds it to the targets.

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rows"
	"github.com/jacinthstile/jacinthstile/internal/bench/spread"
)

// Targets of the size that the system is designed for.
const (
	mostForce = 3.0  // seconds until a change is in force everywhere
	mostCalls = 2000 // platform calls a second over all instances
)

func TestShortRunKeepsTheTargets(t *testing.T) {
	g := NewWithT(t)
	r, err := spread.Run(t.Context(), spread.Options{
		Instances: 40,
		Rows:      rows.Options{Accounts: 300, Endpoints: 200, Centres: 10, Models: 5},
		Steady:    time.Second,
		Burst:     2 * time.Second,
		Seed:      1,
	}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	for name, m := range map[string]spread.Measurement{
		"together": r.Together, "change": r.Change, "burst": r.Burst, "alone": r.Alone,
	} {
		t.Logf("%s: %+v", name, m)
		g.Expect(m.Force).To(And(BeNumerically(">", 0), BeNumerically("<=", mostForce)), name)
		g.Expect(m.Peak).To(BeNumerically("<", mostCalls), name)
	}
	g.Expect(r.Together.Peak).To(BeNumerically("<", mostCalls))
	g.Expect(r.Burst.Rounds).To(BeNumerically("<", 25), "100 changes within 2 s")
}
