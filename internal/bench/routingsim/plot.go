package routingsim

// This file draws a report as plots.

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws attainment, goodput and cost against the offered load, and writes a PNG
// file for each deployment and figure to dir.
func (r *Report) Plot(dir string) error {
	figures := []struct {
		name, label string
		value       func(*Cell) float64
	}{
		{"attainment", "requests answered in time, %", func(c *Cell) float64 { return 100 * c.Attainment.Mean }},
		{"goodput", "requests answered in time, 1/s", func(c *Cell) float64 { return c.Goodput.Mean }},
		{"cost", "cost for each answered request", func(c *Cell) float64 { return c.Cost.Mean }},
	}
	for _, m := range r.Capacities {
		for _, f := range figures {
			file := filepath.Join(dir, fmt.Sprintf("routing-%s-%s.png", m.Deployment, f.name))
			if err := r.plot(file, m.Deployment, f.label, f.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// plot draws one figure of the cells without a fault, with a line for each policy.
func (r *Report) plot(file, deployment, label string, value func(*Cell) float64) error {
	p := plot.New()
	p.Title.Text = deployment
	p.X.Label.Text = "offered load, in multiples of the capacity"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Left = true
	var names []string
	lines := make(map[string]plotter.XYs)
	for _, c := range r.Cells {
		if c.Deployment != deployment || c.Fault != NoFault {
			continue
		}
		if lines[c.Policy] == nil {
			names = append(names, c.Policy)
		}
		lines[c.Policy] = append(lines[c.Policy], plotter.XY{X: c.Load, Y: value(c)})
	}
	for i, name := range names {
		line, points, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return fmt.Errorf("plotting %s: %w", name, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(name, line, points)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("writing %s: %w", file, err)
	}
	return nil
}
