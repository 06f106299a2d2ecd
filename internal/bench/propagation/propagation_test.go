package propagation_test

// This file compares a short run with the targets.

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/propagation"
	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
)

// Targets of the size that the system is designed for.
const (
	maxActivation = 3.0  // seconds until a change is in force on all instances
	maxCalls      = 2000 // platform calls of all instances in a second
)

// Propagation becomes slow when instances that can't reach the platform don't get a change from their peers, and it
// overloads the platform when many instances fetch a table at the same time, or fetch each version of a burst.
func TestShortRunKeepsTheTargets(t *testing.T) {
	g := NewWithT(t)
	r, err := propagation.Run(t.Context(), propagation.Options{
		Instances: 40,
		Rows:      tablegen.Options{Accounts: 300, Endpoints: 200, Centres: 10, Models: 5},
		Steady:    time.Second,
		Burst:     2 * time.Second,
		Seed:      1,
	}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	for name, m := range map[string]propagation.Measurement{
		"together": r.CentreStart, "change": r.Change, "burst": r.Burst, "alone": r.OneReachable,
	} {
		t.Logf("%s: %+v", name, m)
		g.Expect(m.ActivationTime).To(And(BeNumerically(">", 0), BeNumerically("<=", maxActivation)), name)
		g.Expect(m.Peak).To(BeNumerically("<", maxCalls), name)
	}
	g.Expect(r.CentreStart.Peak).To(BeNumerically("<", maxCalls))
	g.Expect(r.Burst.Rounds).To(BeNumerically("<", 25), "100 changes within 2 s")
}
