package root

// This file defines the measure commands.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/bench/propagation"
	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/bench/tabletraffic"
)

func newMeasure() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure what the design promises, on this machine"}
	c.AddCommand(newMeasureSpread(), newMeasureVolume())
	return c
}

func newMeasureSpread() *cobra.Command {
	var o propagation.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "spread",
		Short: "Measure how a table change spreads over many instances in this process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := propagation.Run(c.Context(), o, logr.Discard())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(r)
			}
			return printSpread(c.OutOrStdout(), r)
		},
	}
	f := c.Flags()
	f.IntVar(&o.Instances, "instances", 420, "instances to start")
	f.IntVar(&o.Rows.Accounts, "accounts", 300, "account rows")
	f.IntVar(&o.Rows.Endpoints, "endpoints", 200, "endpoint rows")
	f.IntVar(&o.Rows.Centres, "centres", 10, "centre rows")
	f.IntVar(&o.Rows.Models, "models", tablegen.FullSize().Models, "model rows")
	f.DurationVar(&o.Steady, "steady", 30*time.Second, "length of the steady state")
	f.DurationVar(&o.Burst, "burst", 10*time.Second, "length of the burst of 100 changes")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the changed rows")
	f.BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func printSpread(w io.Writer, r propagation.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "step\tseconds\tin force after\tcalls\tpeak calls/s\twatches\trounds each\tpeer bytes/s each\t")
	for _, row := range []struct {
		name string
		m    propagation.Measurement
	}{
		{"cold start of all", r.Start},
		{"steady", r.Steady},
		{"one change", r.Change},
		{"100 changes", r.Burst},
		{"42 start together", r.CentreStart},
		{"platform down for all but one", r.OneReachable},
	} {
		fmt.Fprintf(t, "%s\t%.1f\t%.2f s\t%d\t%d\t%d\t%.1f\t%.0f\t\n", row.name,
			row.m.Length, row.m.ActivationTime, row.m.Calls, row.m.Peak, row.m.Waiting, row.m.Rounds, row.m.Bytes)
	}
	return t.Flush()
}

func newMeasureVolume() *cobra.Command {
	o := tabletraffic.Options{Rows: tablegen.FullSize()}
	var asJSON bool
	c := &cobra.Command{
		Use:   "volume",
		Short: "Measure the bytes of a day of table changes, whole values against parts",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := tabletraffic.Run(o)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(r)
			}
			return printVolume(c.OutOrStdout(), r)
		},
	}
	f := c.Flags()
	f.IntVar(&o.Rows.Accounts, "accounts", o.Rows.Accounts, "account rows")
	f.IntVar(&o.Rows.Endpoints, "endpoints", o.Rows.Endpoints, "endpoint rows")
	f.IntVar(&o.Changes, "changes", 6700, "changes in a day")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the changed rows")
	f.BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func printVolume(w io.Writer, r tabletraffic.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tbytes a day\tbytes/s\t")
	for _, row := range []struct {
		name  string
		bytes int64
	}{
		{fmt.Sprintf("whole table of %d values", r.PlatformValues), r.FullTableBytes},
		{"parts, one flat manifest", r.FlatManifestBytes},
		{"parts under groups", r.GroupedBytes},
	} {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t\n", row.name, row.bytes, tabletraffic.BytesPerSecond(row.bytes))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d changes; table %d bytes, manifest %d bytes, %d objects fetched, %d bytes held already; %.1f s of CPU\n",
		r.Changes, r.TableBytes, r.ManifestBytes, r.ObjectsFetched, r.HeldBytes, r.CPUSeconds)
	return err
}
