package routingsim

// This file writes a report as markdown tables.

import (
	"fmt"
	"strings"
)

// Markdown returns the report as markdown. Each deployment has a table for each group of
// figures, with a row for each scenario and a column for each policy. The lists that
// follow compare the daemon's policy with the best baseline.
func (r *Report) Markdown() string {
	var b strings.Builder
	for _, m := range r.Capacities {
		fmt.Fprintf(&b, "### %s: capacity %.0f requests/s\n", m.Deployment, m.Rate)
		r.writeTable(&b, m.Deployment, "Attainment in percent (mean, least to greatest of the seeds)", (*Cell).formatAttainment)
		r.writeTable(&b, m.Deployment, "Cost for each answered request (mean, least to greatest)", (*Cell).formatCost)
		r.writeTable(&b, m.Deployment, "Cost of generation for each answered chat", (*Cell).formatChatCost)
		r.writeTable(&b, m.Deployment, "Goodput in requests/s; 99th percentile of latency", (*Cell).formatGoodput)
		r.writeTable(&b, m.Deployment, "Extra attempts, hedges among them, busy time wasted, prompt blocks cached, in percent", (*Cell).formatAttempts)
		r.writeTable(&b, m.Deployment, "Share refused as not run, given up at the deadline, failed, in percent", (*Cell).formatUnanswered)
		r.writeComparison(&b, m.Deployment)
		r.writeFairness(&b, m.Deployment)
		r.writeStageCosts(&b, m.Deployment)
	}
	behind := r.BelowBaseline()
	fmt.Fprintf(&b, "Cells of ours below the best other policy beyond the spread: %d\n", len(behind))
	for _, c := range behind {
		fmt.Fprintf(&b, "- %s, %s\n", c.Deployment, c.scenario())
	}
	return b.String()
}

func (c *Cell) formatAttainment() string {
	return fmt.Sprintf("%.2f (%.2f–%.2f)", 100*c.Attainment.Mean, 100*c.Attainment.Min, 100*c.Attainment.Max)
}

func (c *Cell) formatCost() string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", c.Cost.Mean, c.Cost.Min, c.Cost.Max)
}

func (c *Cell) formatChatCost() string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", c.ChatCost.Mean, c.ChatCost.Min, c.ChatCost.Max)
}

func (c *Cell) formatGoodput() string {
	return fmt.Sprintf("%.0f; %.2f s", c.Goodput.Mean, c.P99Latency.Mean)
}

func (c *Cell) formatAttempts() string {
	return fmt.Sprintf("%.1f, %.1f, %.1f, %.0f",
		100*c.ExtraAttempts.Mean, 100*c.Hedges.Mean, 100*c.WastedBusy.Mean, 100*c.CachedBlocks.Mean)
}

func (c *Cell) formatUnanswered() string {
	return fmt.Sprintf("%.2f, %.2f, %.2f", 100*c.Refused.Mean, 100*c.Late.Mean, 100*c.Failed.Mean)
}

// writeFairness writes the attainment of the other accounts in the scenarios in which
// one account sends more than its share.
func (r *Report) writeFairness(b *strings.Builder, deployment string) {
	fmt.Fprintf(b, "\nAttainment of the other accounts while one sends ten times its share\n\n")
	for _, c := range r.Cells {
		if c.Deployment == deployment && c.Fault == NoisyAccount {
			fmt.Fprintf(b, "- %s: %.2f (%.2f–%.2f)\n", c.Policy, 100*c.OthersAttainment.Mean, 100*c.OthersAttainment.Min, 100*c.OthersAttainment.Max)
		}
	}
}

// writeTable writes a table with a row for each scenario and a column for each policy.
// It relies on the cells of a scenario being adjacent and in the same order of policies.
func (r *Report) writeTable(b *strings.Builder, deployment, title string, format func(*Cell) string) {
	fmt.Fprintf(b, "\n%s\n\n", title)
	last := ""
	for _, c := range r.Cells {
		if c.Deployment != deployment {
			continue
		}
		if last == "" {
			r.writeHeader(b, deployment, c)
		}
		if row := c.scenario(); row != last {
			if last != "" {
				b.WriteString("\n")
			}
			fmt.Fprintf(b, "| %s |", row)
			last = row
		}
		fmt.Fprintf(b, " %s |", format(c))
	}
	b.WriteString("\n")
}

// writeHeader writes the header of a table, with the policies of the first cell's
// scenario.
func (r *Report) writeHeader(b *strings.Builder, deployment string, first *Cell) {
	header, separator := "| load, fault |", "| --- |"
	for _, c := range r.Cells {
		if c.Deployment == deployment && c.scenario() == first.scenario() {
			header += " " + c.Policy + " |"
			separator += " --- |"
		}
	}
	fmt.Fprintf(b, "%s\n%s\n", header, separator)
}

// scenario returns the label of the cell's scenario: its load and its fault, if any.
func (c *Cell) scenario() string {
	if c.Fault == NoFault {
		return fmt.Sprintf("%g", c.Load)
	}
	return fmt.Sprintf("%g, %s", c.Load, c.Fault)
}

// writeStageCosts writes the cost of each role for each answered request, in the
// scenarios without a fault.
func (r *Report) writeStageCosts(b *strings.Builder, deployment string) {
	fmt.Fprintf(b, "\nCost by stage for each answered request, without a fault\n\n")
	headerWritten := false
	for _, c := range r.Cells {
		if c.Deployment != deployment || c.Fault != NoFault {
			continue
		}
		if !headerWritten {
			b.WriteString("| load | policy |")
			for _, s := range c.StageCosts {
				fmt.Fprintf(b, " %s |", s.Role)
			}
			b.WriteString("\n| --- | --- |" + strings.Repeat(" --- |", len(c.StageCosts)) + "\n")
			headerWritten = true
		}
		fmt.Fprintf(b, "| %g | %s |", c.Load, c.Policy)
		for _, s := range c.StageCosts {
			fmt.Fprintf(b, " %.4f |", s.Cost.Mean)
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}
