package gathering

// This file compares ways at several loads, as a table and as plots.

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

// Cell is one run of a comparison.
type Cell struct {
	Site    string  `json:"site"`
	Way     string  `json:"way"`
	Load    float64 `json:"load"`
	Worth   float64 `json:"worth"`   // share of the worth asked for that was in time
	Goodput float64 `json:"goodput"` // the same, times the load
	Batch   float64 `json:"batch"`   // pieces in a call
	Waste   float64 `json:"waste"`   // share of the endpoints' time on requests that were not served
	Detail  string  `json:"detail"`
}

// Comparison is the runs of one seed.
type Comparison struct {
	Seed  uint64 `json:"seed"`
	Cells []Cell `json:"cells"`
}

// Compare runs each way at each load on each site.
func Compare(sites []Site, loads []float64, length time.Duration, seed uint64) *Comparison {
	c := &Comparison{Seed: seed}
	for _, s := range sites {
		for _, w := range Ways() {
			for _, load := range loads {
				r := Run(s, w, Options{Load: load, Length: length, Seed: seed})
				c.Cells = append(c.Cells, Cell{
					Site: s.Name, Way: w.Name, Load: load, Worth: r.Worth(), Goodput: load * r.Worth(), Batch: r.Batch(),
					Waste: r.Waste.Seconds() / max(1, r.Busy.Seconds()), Detail: r.String(),
				})
			}
		}
	}
	return c
}

// Write prints a table.
func (c *Comparison) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d\n\n| Site | Way | Load | Worth in time | Goodput | Pieces a call | Waste |\n| --- | --- | --- | --- | --- | --- | --- |\n", c.Seed); err != nil {
		return err
	}
	for _, x := range c.Cells {
		if _, err := fmt.Fprintf(w, "| %s | %s | %.1f | %.3f | %.3f | %.1f | %.3f |\n",
			x.Site, x.Way, x.Load, x.Worth, x.Goodput, x.Batch, x.Waste); err != nil {
			return err
		}
	}
	return nil
}

// Plot draws goodput against load, a PNG file for each site.
func (c *Comparison) Plot(dir string) error {
	for _, s := range []Site{Kelang(), Slamka()} {
		p := plot.New()
		p.Title.Text = s.Name
		p.X.Label.Text = "offered load, in multiples of the usual one"
		p.Y.Label.Text = "worth served in time"
		p.Y.Min = 0
		p.Legend.Top, p.Legend.Left = true, true
		for i, w := range Ways() {
			line, points, err := plotter.NewLinePoints(c.points(s.Name, w.Name))
			if err != nil {
				return fmt.Errorf("plotting %s: %w", w.Name, err)
			}
			line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
			p.Add(line, points)
			p.Legend.Add(w.Name, line, points)
		}
		file := filepath.Join(dir, "stages-"+s.Name+".png")
		if err := p.Save(plotWidth, plotHeight, file); err != nil {
			return fmt.Errorf("writing %s: %w", file, err)
		}
	}
	return nil
}

func (c *Comparison) points(site, way string) plotter.XYs {
	var points plotter.XYs
	for _, x := range c.Cells {
		if x.Site == site && x.Way == way {
			points = append(points, plotter.XY{X: x.Load, Y: x.Goodput})
		}
	}
	return points
}
