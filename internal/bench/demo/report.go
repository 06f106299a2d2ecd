package demo

// This file formats a result as text.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// Print writes the result as a table of text, followed by the broken promises.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("deployment", "%s, seed %d, %.1f s", r.Deployment, r.Seed, r.Seconds)
	row("requests", "%d", r.Requests)
	row("attainment", "%.2f%% answered whole and within the deadline", 100*r.Attainment)
	row("latency", "p50 %.0f ms, p95 %.0f ms, p99 %.0f ms", r.Latency.P50, r.Latency.P95, r.Latency.P99)
	row("first token", "p50 %.0f ms, p95 %.0f ms, p99 %.0f ms", r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99)
	for _, c := range slices.Sorted(maps.Keys(r.Refused)) {
		row("refused", "%d with %d %s (%s)", r.Refused[c], c, code.Code(c), code.Code(c).Class())
	}
	row("lost", "%d", r.Lost)
	row("doubled", "%d", r.Doubled)
	row("cut off", "%d by the graceful stop, which took %.1f s", r.Cut, r.StopTime)
	row("killed", "%d first tries whose connection the demo killed", r.Killed)
	row("change in force", "%.2f s after it was published", r.ActivationTime)
	row("data centre emptied", "last new request after %.2f s", r.EmptiedAfter)
	row("cap", "highest use %d of %d", r.PeakUse, r.Cap)
	fmt.Fprintf(t, "\nstage\tcalls\tbusy s\tcost\n")
	for _, s := range r.Stages {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\n", s.Name, s.Calls, s.Busy, s.Cost)
	}
	for _, v := range r.Broken {
		fmt.Fprintf(t, "\nBROKEN\t%s\n", v)
	}
	return t.Flush()
}
