package root

// This file defines the load commands.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/bench/chart"
	"github.com/jacinthstile/jacinthstile/internal/bench/loadgen"
)

func newLoad() *cobra.Command {
	var urls []string
	var seed uint64
	c := &cobra.Command{
		Use:   "load PLAN",
		Short: "Send an open-loop load to running daemons and print a JSON line for each step",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := loadgen.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if len(urls) > 0 {
				p.URLs = urls
			}
			if c.Flags().Changed("seed") {
				p.Seed = seed
			}
			l, closeLoad, err := loadgen.New(p)
			if err != nil {
				return err
			}
			defer closeLoad()
			out := json.NewEncoder(c.OutOrStdout())
			return l.Run(c.Context(), func(r loadgen.Result) error { return out.Encode(r) })
		},
	}
	c.Flags().StringSliceVar(&urls, "url", nil, "a daemon's address for callers, instead of the plan's; may be given several times")
	c.Flags().Uint64Var(&seed, "seed", 0, "seed of arrivals and mix, instead of the plan's")
	c.AddCommand(newLoadReport())
	return c
}

func newLoadReport() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "report FILE...",
		Short: "Draw attainment and cost by stage against offered load",
		Long:  "Report draws the results that load has printed. Each file is one series, named by its file.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var drawn chart.Chart
			for _, path := range args {
				s, err := readSeries(path)
				if err != nil {
					return err
				}
				drawn.Series = append(drawn.Series, s)
			}
			if err := writeChart(drawn, out); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "wrote %s\n", out)
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "load.png", "file to write, .png or .svg")
	return c
}

func writeChart(drawn chart.Chart, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := drawn.Write(f, path); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func readSeries(path string) (chart.Series, error) {
	f, err := os.Open(path)
	if err != nil {
		return chart.Series{}, err
	}
	defer f.Close()
	s := chart.Series{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	d := json.NewDecoder(bufio.NewReader(f))
	for {
		var r loadgen.Result
		err := d.Decode(&r)
		if err == io.EOF {
			return s, nil
		}
		if err != nil {
			return s, fmt.Errorf("reading %s: %w", path, err)
		}
		s.Results = append(s.Results, r)
	}
}
