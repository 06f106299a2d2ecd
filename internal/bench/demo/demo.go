// Package demo drives a fleet of daemons with a mix of requests while the table
// changes and instances leave, and checks the promises to callers from what the
// stand-ins counted.
package demo

// This file defines the options and the run.

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/schollz/progressbar/v3"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Options chooses the run.
type Options struct {
	Deployment string // a folder of the examples
	Requests   int
	Seed       uint64
	Daemons    int
	Rate       float64   // requests a second
	Workers    int       // most requests under way at once
	Progress   io.Writer // where a progress bar is drawn; nil for none
}

// How the run goes.
const (
	drain       = time.Second           // a stopping daemon stays reachable
	probeEvery  = 50 * time.Millisecond // the balancer asks who is ready
	emptyWithin = 3 * time.Second       // from the acceptance of a table to the last new request
	forceWithin = 3 * time.Second       // from the acceptance of a table to its being in force
	stopTimeout = 30 * time.Second      // a graceful stop
	giveUp      = 20 * time.Second      // a caller waits no longer
	lowCap      = 3                     // the cap that the change gives the second account
)

// Run starts a fleet, drives it and returns what was seen.
func Run(ctx context.Context, o Options, log logr.Logger) (Result, error) {
	data, err := examples.Files.ReadFile(o.Deployment + "/table.json")
	if err != nil {
		return Result{}, fmt.Errorf("reading deployment %q: %w", o.Deployment, err)
	}
	table, err := fleettable.Parse(data)
	if err != nil {
		return Result{}, err
	}
	f, stop, err := fleet.New(ctx, table, fleet.Options{
		Daemons: o.Daemons, Timing: fleet.DefaultTiming(), DrainTime: drain,
	}, log)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	b, closeBalancer, err := newBalancer(ctx, f)
	if err != nil {
		return Result{}, err
	}
	defer closeBalancer()
	d := newDriver(f, b, o)
	defer d.close()
	start := time.Now()
	events := make(chan error, 1)
	go func() { events <- d.events(ctx) }()
	d.drive(ctx, bar(o))
	if err := <-events; err != nil {
		return Result{}, err
	}
	return d.result(time.Since(start)), nil
}

func bar(o Options) *progressbar.ProgressBar {
	if o.Progress == nil {
		return progressbar.DefaultSilent(int64(o.Requests))
	}
	return progressbar.NewOptions(o.Requests,
		progressbar.OptionSetWriter(o.Progress),
		progressbar.OptionSetDescription("requests"),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
	)
}
