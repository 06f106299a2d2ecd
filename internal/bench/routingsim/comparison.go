package routingsim

// This file compares the daemon's policy with the baseline policies, which are those
// without admission.

import (
	"fmt"
	"slices"
	"strings"
)

// BelowBaseline returns the cells of the daemon's policy whose mean attainment is below
// the minimum over the seeds of the best baseline policy.
func (r *Report) BelowBaseline() []*Cell {
	var list []*Cell
	for _, c := range r.Cells {
		if c.Policy != DaemonPolicy {
			continue
		}
		if best := r.bestBaseline(c); best != nil && c.Attainment.Mean < best.Attainment.Min {
			list = append(list, c)
		}
	}
	return list
}

// bestBaseline returns the cell of the baseline policy with the greatest mean attainment
// in the same scenario. It returns nil if there is none.
func (r *Report) bestBaseline(daemon *Cell) *Cell {
	var best *Cell
	for _, c := range r.Cells {
		same := c.Deployment == daemon.Deployment && c.Load == daemon.Load && c.Fault == daemon.Fault
		if !same || !isBaseline(c.Policy) {
			continue
		}
		if best == nil || c.Attainment.Mean > best.Attainment.Mean {
			best = c
		}
	}
	return best
}

// isBaseline reports whether name is that of a baseline policy.
func isBaseline(name string) bool {
	return slices.ContainsFunc(Policies(), func(p Policy) bool { return p.Name == name && !p.Admission })
}

// writeComparison writes the differences of attainment and cost between the daemon's
// policy and the best baseline policy.
func (r *Report) writeComparison(b *strings.Builder, deployment string) {
	if !slices.ContainsFunc(r.Cells, func(c *Cell) bool { return isBaseline(c.Policy) }) {
		return
	}
	fmt.Fprintf(b, "\nOurs against the best other policy by attainment: points of attainment, cost in percent\n\n")
	b.WriteString("| load, fault | best other | attainment | cost |\n| --- | --- | --- | --- |\n")
	for _, c := range r.Cells {
		if c.Policy != DaemonPolicy || c.Deployment != deployment {
			continue
		}
		best := r.bestBaseline(c)
		if best == nil {
			continue
		}
		fmt.Fprintf(b, "| %s | %s | %+.2f | %+.1f |\n", c.scenario(), best.Policy,
			100*(c.Attainment.Mean-best.Attainment.Mean), 100*(c.Cost.Mean/best.Cost.Mean-1))
	}
}
