package experiment

// This file defines the report as markdown tables.

import (
	"fmt"
	"strings"
)

// Markdown returns a table for each deployment: scenarios as rows, and for
// each policy attainment and cost with the spread over the seeds.
func (r *Report) Markdown() string {
	var b strings.Builder
	for _, m := range r.Capacities {
		fmt.Fprintf(&b, "### %s: capacity %.0f requests/s\n", m.Deployment, m.Rate)
		r.table(&b, m.Deployment, "Attainment in percent (mean, least to greatest of the seeds)", (*Cell).attainment)
		r.table(&b, m.Deployment, "Cost for each answered request (mean, least to greatest)", (*Cell).cost)
		r.table(&b, m.Deployment, "Cost of generation for each answered chat", (*Cell).chat)
		r.table(&b, m.Deployment, "Goodput in requests/s; 99th percentile of latency", (*Cell).speed)
		r.table(&b, m.Deployment, "Extra attempts, hedges among them, busy time wasted, prompt blocks cached, in percent", (*Cell).work)
		r.table(&b, m.Deployment, "Share refused as not run, given up at the deadline, failed, in percent", (*Cell).lost)
		r.compare(&b, m.Deployment)
		r.fairness(&b, m.Deployment)
		r.stages(&b, m.Deployment)
	}
	behind := r.Behind()
	fmt.Fprintf(&b, "Cells of ours below the best other policy beyond the spread: %d\n", len(behind))
	for _, c := range behind {
		fmt.Fprintf(&b, "- %s, %s\n", c.Deployment, c.scenario())
	}
	return b.String()
}

func (c *Cell) attainment() string {
	return fmt.Sprintf("%.2f (%.2f–%.2f)", 100*c.Attainment.Mean, 100*c.Attainment.Least, 100*c.Attainment.Most)
}

func (c *Cell) cost() string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", c.Cost.Mean, c.Cost.Least, c.Cost.Most)
}

func (c *Cell) chat() string {
	return fmt.Sprintf("%.3f (%.3f–%.3f)", c.Chat.Mean, c.Chat.Least, c.Chat.Most)
}

func (c *Cell) speed() string { return fmt.Sprintf("%.0f; %.2f s", c.Goodput.Mean, c.Most.Mean) }

func (c *Cell) work() string {
	return fmt.Sprintf("%.1f, %.1f, %.1f, %.0f",
		100*c.Extra.Mean, 100*c.Hedges.Mean, 100*c.Wasted.Mean, 100*c.Cached.Mean)
}

func (c *Cell) lost() string {
	return fmt.Sprintf("%.2f, %.2f, %.2f", 100*c.Refused.Mean, 100*c.Late.Mean, 100*c.Failed.Mean)
}

// fairness writes what the accounts get that keep to their share while one doesn't.
func (r *Report) fairness(b *strings.Builder, deployment string) {
	fmt.Fprintf(b, "\nAttainment of the other accounts while one sends ten times its share\n\n")
	for _, c := range r.Cells {
		if c.Deployment == deployment && c.Fault == Hog {
			fmt.Fprintf(b, "- %s: %.2f (%.2f–%.2f)\n", c.Policy, 100*c.Others.Mean, 100*c.Others.Least, 100*c.Others.Most)
		}
	}
}

func (r *Report) table(b *strings.Builder, deployment, title string, text func(*Cell) string) {
	fmt.Fprintf(b, "\n%s\n\n", title)
	last := ""
	for _, c := range r.Cells {
		if c.Deployment != deployment {
			continue
		}
		if last == "" {
			r.head(b, deployment, c)
		}
		if row := c.scenario(); row != last {
			if last != "" {
				b.WriteString("\n")
			}
			fmt.Fprintf(b, "| %s |", row)
			last = row
		}
		fmt.Fprintf(b, " %s |", text(c))
	}
	b.WriteString("\n")
}

func (r *Report) head(b *strings.Builder, deployment string, first *Cell) {
	head, rule := "| load, fault |", "| --- |"
	for _, c := range r.Cells {
		if c.Deployment == deployment && c.scenario() == first.scenario() {
			head += " " + c.Policy + " |"
			rule += " --- |"
		}
	}
	fmt.Fprintf(b, "%s\n%s\n", head, rule)
}

func (c *Cell) scenario() string {
	if c.Fault == None {
		return fmt.Sprintf("%g", c.Load)
	}
	return fmt.Sprintf("%g, %s", c.Load, c.Fault)
}

// stages writes the cost of each role, for each answered request.
func (r *Report) stages(b *strings.Builder, deployment string) {
	fmt.Fprintf(b, "\nCost by stage for each answered request, without a fault\n\n")
	head := false
	for _, c := range r.Cells {
		if c.Deployment != deployment || c.Fault != None {
			continue
		}
		if !head {
			b.WriteString("| load | policy |")
			for _, s := range c.Stages {
				fmt.Fprintf(b, " %s |", s.Role)
			}
			b.WriteString("\n| --- | --- |" + strings.Repeat(" --- |", len(c.Stages)) + "\n")
			head = true
		}
		fmt.Fprintf(b, "| %g | %s |", c.Load, c.Policy)
		for _, s := range c.Stages {
			fmt.Fprintf(b, " %.4f |", s.Cost.Mean)
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}
