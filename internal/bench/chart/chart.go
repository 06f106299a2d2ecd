// Package chart draws the results of load tests: a plot of attainment and a plot of the
// cost by stage, both against the offered load. It does no I/O except through the writer
// that it is given.
package chart

// This file defines Series and Chart.

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/jacinthstile/jacinthstile/internal/bench/loadgen"
)

const (
	width  = 24 * vg.Centimeter
	height = 20 * vg.Centimeter
	gap    = vg.Centimeter // between the plots and around them
)

// Series holds the results of one run. There is a result for each load step.
type Series struct {
	Name    string // label in the legend
	Results []loadgen.Result
}

// Chart holds the runs that are drawn in the same plots.
type Chart struct {
	Series []Series
}

// Write draws the chart to w. The extension of the file name, .png or .svg in any case,
// sets the format; another extension is an error.
func (c Chart) Write(w io.Writer, name string) error {
	attainment, err := c.attainment()
	if err != nil {
		return err
	}
	cost, err := c.cost()
	if err != nil {
		return err
	}
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	}
	switch ext := strings.ToLower(filepath.Ext(name)); ext {
	case ".png":
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	case ".svg":
		canvas = vgsvg.New(width, height)
	default:
		return fmt.Errorf("drawing %s: got format %q, want .png or .svg", name, ext)
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: gap, PadTop: gap, PadBottom: gap, PadLeft: gap, PadRight: gap}
	plots := [][]*plot.Plot{{attainment}, {cost}}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err = canvas.WriteTo(w)
	return err
}

// attainment plots the share of requests answered within the deadline.
func (c Chart) attainment() (*plot.Plot, error) {
	p := newPlot("Attainment against offered load", "answered within the deadline")
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, s := range c.Series {
		lines = append(lines, s.Name, points(s.Results, func(r loadgen.Result) (float64, bool) { return r.Attainment, true }))
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

// cost plots the busy seconds a call, with a line for each stage of each run.
func (c Chart) cost() (*plot.Plot, error) {
	p := newPlot("Cost by stage against offered load", "busy seconds a call")
	p.Y.Min = 0
	var lines []any
	for _, s := range c.Series {
		for _, name := range stagesOf(s.Results) {
			label := name
			if len(c.Series) > 1 {
				label = s.Name + " " + name
			}
			lines = append(lines, label, points(s.Results, func(r loadgen.Result) (float64, bool) { return costOf(r, name) }))
		}
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

// newPlot returns an empty plot against the offered load, with y as the label of the other
// axis.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "requests a second"
	p.X.Min = 0
	p.Y.Label.Text = y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// points returns the points of a line, sorted by offered load. It leaves out results for
// which value returns false.
func points(results []loadgen.Result, value func(loadgen.Result) (float64, bool)) plotter.XYs {
	var xys plotter.XYs
	for _, r := range results {
		if v, ok := value(r); ok {
			xys = append(xys, plotter.XY{X: r.Offered, Y: v})
		}
	}
	slices.SortStableFunc(xys, func(a, b plotter.XY) int {
		switch {
		case a.X < b.X:
			return -1
		case a.X > b.X:
			return 1
		default:
			return 0
		}
	})
	return xys
}

// stagesOf returns the names of the stages in the results, in the order of their first
// occurrence.
func stagesOf(results []loadgen.Result) []string {
	var names []string
	for _, r := range results {
		for _, s := range r.Stages {
			if !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	return names
}

// costOf returns the busy seconds a call of a stage, and whether the result has the stage.
func costOf(r loadgen.Result, name string) (float64, bool) {
	for _, s := range r.Stages {
		if s.Name == name {
			return s.MeanBusy, true
		}
	}
	return 0, false
}
