package volume_test

// This file runs a short day and holds it to the budget.

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/bench/volume"
)

// Budgets of the size that the system is designed for.
const (
	mostBytes   = 22_000 // bytes of control a second
	dayChanges  = 6700
	shortPart   = 1000 // the changes of a day are divided by it
	mostCPU     = 0.011
	daySeconds  = 86_400
	testChanges = dayChanges / shortPart
)

func TestDayOfChangesFitsTheBudget(t *testing.T) {
	g := NewWithT(t)
	r, err := volume.Run(volume.Options{Rows: tablegen.FullSize(), Changes: testChanges, Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(volume.Rate(r.Parts*shortPart)).To(BeNumerically("<", mostBytes/2), "received; as much is sent on")
	g.Expect(volume.Rate(r.Whole*shortPart)).To(BeNumerically(">", mostBytes), "what is weighed against")
	g.Expect(r.CPU * shortPart / daySeconds).To(BeNumerically("<", mostCPU))
	g.Expect(r.Objects).To(BeNumerically("<=", 2*testChanges))
}
