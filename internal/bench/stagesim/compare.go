package stagesim

// This file defines Comparison, which compares the variants at several loads and
// writes the results as a table and as plots.

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Cell is the result of one variant at one load of one deployment.
type Cell struct {
	Deployment string  `json:"site"`
	Variant    string  `json:"way"`
	Load       float64 `json:"load"`    // in multiples of the usual request rates
	Worth      float64 `json:"worth"`   // worth of the requests served in time, as a share of the worth of all requests
	Goodput    float64 `json:"goodput"` // Worth * Load
	MeanBatch  float64 `json:"batch"`   // mean number of pieces in a call
	Waste      float64 `json:"waste"`   // share of the endpoints' busy time spent on requests that missed their deadline
	Detail     string  `json:"detail"`  // Result.String
}

// Comparison holds the results of all runs with one seed.
type Comparison struct {
	Seed  uint64 `json:"seed"`
	Cells []Cell `json:"cells"`
}

// Compare runs each variant at each load of each deployment. The loads are
// multiples of the usual request rates. length is the virtual time during which
// requests arrive in each run.
func Compare(deployments []Deployment, loads []float64, length time.Duration, seed uint64) *Comparison {
	c := &Comparison{Seed: seed}
	for _, d := range deployments {
		for _, v := range Variants() {
			for _, load := range loads {
				r := Run(d, v, Options{Load: load, Length: length, Seed: seed})
				c.Cells = append(c.Cells, Cell{
					Deployment: d.Name, Variant: v.Name, Load: load, Worth: r.Worth(), Goodput: load * r.Worth(), MeanBatch: r.MeanBatch(),
					Waste: r.Waste.Seconds() / max(1, r.Busy.Seconds()), Detail: r.String(),
				})
			}
		}
	}
	return c
}

// Write prints the comparison as a markdown table.
func (c *Comparison) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d\n\n| Site | Way | Load | Worth in time | Goodput | Pieces a call | Waste |\n| --- | --- | --- | --- | --- | --- | --- |\n", c.Seed); err != nil {
		return err
	}
	for _, x := range c.Cells {
		if _, err := fmt.Fprintf(w, "| %s | %s | %.1f | %.3f | %.3f | %.1f | %.3f |\n",
			x.Deployment, x.Variant, x.Load, x.Worth, x.Goodput, x.MeanBatch, x.Waste); err != nil {
			return err
		}
	}
	return nil
}

// Plot draws goodput against load and writes a PNG file for each deployment to
// dir.
func (c *Comparison) Plot(dir string) error {
	for _, d := range []Deployment{Kelang(), Slamka()} {
		p := plot.New()
		p.Title.Text = d.Name
		p.X.Label.Text = "offered load, in multiples of the usual one"
		p.Y.Label.Text = "worth served in time"
		p.Y.Min = 0
		p.Legend.Top, p.Legend.Left = true, true
		for i, v := range Variants() {
			line, points, err := plotter.NewLinePoints(c.points(d.Name, v.Name))
			if err != nil {
				return fmt.Errorf("plotting %s: %w", v.Name, err)
			}
			line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
			p.Add(line, points)
			p.Legend.Add(v.Name, line, points)
		}
		file := filepath.Join(dir, "stages-"+d.Name+".png")
		if err := p.Save(plotWidth, plotHeight, file); err != nil {
			return fmt.Errorf("writing %s: %w", file, err)
		}
	}
	return nil
}

func (c *Comparison) points(deployment, variant string) plotter.XYs {
	var points plotter.XYs
	for _, x := range c.Cells {
		if x.Deployment == deployment && x.Variant == variant {
			points = append(points, plotter.XY{X: x.Load, Y: x.Goodput})
		}
	}
	return points
}
