package root

// This file defines the command that compares ways to batch the stage work of
// several instances.

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/bench/stagesim"
)

func newStages() *cobra.Command {
	var (
		loads  []float64
		length time.Duration
		seed   uint64
		plots  string
		asJSON bool
	)
	c := &cobra.Command{
		Use:   "stages",
		Short: "Compare ways to gather stage work at several loads",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r := stagesim.Compare([]stagesim.Deployment{stagesim.Kelang(), stagesim.Slamka(), stagesim.Commonlight(), stagesim.Farrowmere()}, loads, length, seed)
			if plots != "" {
				if err := r.Plot(plots); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(r)
			}
			return r.Write(c.OutOrStdout())
		},
	}
	c.Flags().Float64SliceVar(&loads, "load", []float64{1, 1.5, 2, 3}, "offered loads, in multiples of the usual one")
	c.Flags().DurationVar(&length, "length", 30*time.Second, "virtual time of each run")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	c.Flags().StringVar(&plots, "plots", "", "directory for plots; none if empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
