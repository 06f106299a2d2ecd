package tabletraffic_test

// This file checks a short run against the design budget.

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/bench/tabletraffic"
)

// Budgets for the table size that the system is designed for.
const (
	maxBytesPerSecond = 22_000 // of control traffic, sent and received
	changesPerDay     = 6700
	scale             = 1000  // the test runs this part of a day's changes
	maxCPU            = 0.011 // of one core, to put changes in force
	daySeconds        = 86_400
	testChanges       = changesPerDay / scale
)

// TestDayOfChangesFitsTheBudget guards against a table encoding in which a change of one
// row makes an instance fetch more than the part and the group that hold the row. It runs
// a thousandth of a day's changes and scales the result up.
func TestDayOfChangesFitsTheBudget(t *testing.T) {
	g := NewWithT(t)
	r, err := tabletraffic.Run(tabletraffic.Options{Rows: tablegen.FullSize(), Changes: testChanges, Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tabletraffic.BytesPerSecond(r.GroupedBytes*scale)).To(BeNumerically("<", maxBytesPerSecond/2), "received; the same amount is forwarded to peers")
	g.Expect(tabletraffic.BytesPerSecond(r.FullTableBytes*scale)).To(BeNumerically(">", maxBytesPerSecond), "reading the whole table at each change")
	t.Logf("%.4f of a core", r.CPUSeconds*scale/daySeconds)
	g.Expect(r.CPUSeconds * scale / daySeconds).To(BeNumerically("<", maxCPU))
	g.Expect(r.ObjectsFetched).To(BeNumerically("<=", 2*testChanges))
}
