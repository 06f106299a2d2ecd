package experiment

// This file defines the comparison of our policy with the best of the others.

import (
	"fmt"
	"slices"
	"strings"
)

// Behind returns the cells of our policy whose mean attainment is below the
// least over the seeds of the best plain policy.
func (r *Report) Behind() []*Cell {
	var list []*Cell
	for _, c := range r.Cells {
		if c.Policy != Ours {
			continue
		}
		if best := r.best(c); best != nil && c.Attainment.Mean < best.Attainment.Least {
			list = append(list, c)
		}
	}
	return list
}

// best returns the other policy with the greatest attainment in the same scenario.
func (r *Report) best(own *Cell) *Cell {
	var best *Cell
	for _, c := range r.Cells {
		same := c.Deployment == own.Deployment && c.Load == own.Load && c.Fault == own.Fault
		if !same || !plain(c.Policy) {
			continue
		}
		if best == nil || c.Attainment.Mean > best.Attainment.Mean {
			best = c
		}
	}
	return best
}

// plain reports whether a policy is one of the plain ones.
func plain(name string) bool {
	return slices.ContainsFunc(Policies(), func(p Policy) bool { return p.Name == name && !p.Admission })
}

// compare writes attainment and cost of our policy beside the best other one.
func (r *Report) compare(b *strings.Builder, deployment string) {
	if !slices.ContainsFunc(r.Cells, func(c *Cell) bool { return plain(c.Policy) }) {
		return
	}
	fmt.Fprintf(b, "\nOurs against the best other policy by attainment: points of attainment, cost in percent\n\n")
	b.WriteString("| load, fault | best other | attainment | cost |\n| --- | --- | --- | --- |\n")
	for _, c := range r.Cells {
		if c.Policy != Ours || c.Deployment != deployment {
			continue
		}
		best := r.best(c)
		if best == nil {
			continue
		}
		fmt.Fprintf(b, "| %s | %s | %+.2f | %+.1f |\n", c.scenario(), best.Policy,
			100*(c.Attainment.Mean-best.Attainment.Mean), 100*(c.Cost.Mean/best.Cost.Mean-1))
	}
}
