package root

// This file defines the experiment commands.

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/bench/routingsim"
)

type policyFlags struct {
	deployments []string
	seeds       int
	warm        time.Duration
	length      time.Duration
	workers     int
	traces      int
	json        bool
	ablations   bool
	plots       string
	policies    []string
	faults      []string
	loads       []float64
}

func newExperiment() *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "Compare policies on small fakes in virtual time"}
	c.AddCommand(newPolicies(), newReport(), newStages())
	return c
}

func newPolicies() *cobra.Command {
	f := new(policyFlags)
	c := &cobra.Command{
		Use:   "policies",
		Short: "Compare the routing policies at several loads and with one fault at a time",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	fs := c.Flags()
	fs.StringSliceVar(&f.deployments, "deployment", []string{"serikelang", "slamka"}, "deployments of examples/")
	fs.IntVar(&f.seeds, "seeds", 5, "runs of each cell")
	fs.DurationVar(&f.warm, "warm", 45*time.Second, "virtual time before anything is counted")
	fs.DurationVar(&f.length, "length", 45*time.Second, "virtual time that is counted; faults start with it")
	fs.IntVar(&f.workers, "workers", 3, "runs at once")
	fs.IntVar(&f.traces, "traces", 0, "failed requests to show of each run")
	fs.BoolVar(&f.ablations, "ablations", false, "run our policy without one of its parts each, instead of the plain ones")
	fs.BoolVar(&f.json, "json", false, "print the report as JSON instead of markdown tables")
	fs.StringVar(&f.plots, "plots", "", "directory for the plots, without --json; none if empty")
	fs.StringSliceVar(&f.policies, "policy", nil, "policies to run; all if empty")
	fs.StringSliceVar(&f.faults, "fault", nil, "faults to run; all if empty")
	fs.Float64SliceVar(&f.loads, "load", nil, "offered loads to run; all if empty")
	return c
}

func (f *policyFlags) run(c *cobra.Command) error {
	x, err := f.experiment()
	if err != nil {
		return err
	}
	report, err := x.Run()
	if err != nil {
		return err
	}
	if !f.json {
		return render(c, report, f.plots)
	}
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", " ")
	return enc.Encode(report)
}

// newReport returns the command that renders a report written by policies --json.
func newReport() *cobra.Command {
	var plots string
	c := &cobra.Command{
		Use:   "report FILE",
		Short: "Show a report of policies --json as markdown tables and plots",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			report := new(routingsim.Report)
			if err := json.Unmarshal(data, report); err != nil {
				return fmt.Errorf("reading report %s: %w", args[0], err)
			}
			return render(c, report, plots)
		},
	}
	c.Flags().StringVar(&plots, "plots", "", "directory for the plots; none if empty")
	return c
}

func render(c *cobra.Command, report *routingsim.Report, plots string) error {
	if plots != "" {
		if err := report.Plot(plots); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(c.OutOrStdout(), report.Markdown())
	return err
}

func (f *policyFlags) experiment() (*routingsim.Experiment, error) {
	policies := routingsim.Policies()
	if f.ablations {
		policies = routingsim.Ablations()
	}
	o := routingsim.Options{
		Deployments: f.deployments, WarmUp: f.warm, Length: f.length, Parallelism: f.workers, MaxTraces: f.traces,
		Policies: filter(policies, f.policies, func(p routingsim.Policy) string { return p.Name }),
		Scenarios: filter(filter(routingsim.Scenarios(),
			f.faults, func(s routingsim.Scenario) string { return s.Fault.String() }),
			f.loads, func(s routingsim.Scenario) float64 { return s.Load }),
	}
	for i := range f.seeds {
		o.Seeds = append(o.Seeds, uint64(i+1))
	}
	if len(o.Policies) == 0 || len(o.Scenarios) == 0 || len(o.Seeds) == 0 {
		return nil, fmt.Errorf("experiment: got %d policies, %d scenarios and %d seeds, want 1 or more of each",
			len(o.Policies), len(o.Scenarios), len(o.Seeds))
	}
	var bar *progressbar.ProgressBar
	x := routingsim.New(o, func() { _ = bar.Add(1) })
	bar = progressbar.NewOptions(x.NumRuns(), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	return x, nil
}

// filter returns the items whose key is in wanted, or all if wanted is empty.
func filter[T any, K comparable](items []T, wanted []K, key func(T) K) []T {
	if len(wanted) == 0 {
		return items
	}
	set := make(map[K]bool)
	for _, k := range wanted {
		set[k] = true
	}
	var out []T
	for _, it := range items {
		if set[key(it)] {
			out = append(out, it)
		}
	}
	return out
}
