// Package demo runs a fleet of daemons in this process and sends it a mix of requests. Half-way it changes the table,
// closes the connections of one daemon and restarts another gracefully. Afterwards it compares the callers' results
// with the executions that the stand-in endpoints recorded and reports each broken promise. It uses TCP on loopback.
package demo

// This file defines Options and Run.

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

// Options are the parameters of a run.
type Options struct {
	Deployment string // name of a folder in the package examples
	Requests   int
	Seed       uint64
	Daemons    int       // 2 or more
	Rate       float64   // requests a second, on average
	Workers    int       // maximum number of concurrent requests
	Progress   io.Writer // destination of the progress bar; nil for none
}

// Timing and limits of a run.
const (
	drainTime         = time.Second           // time for which a stopping daemon stays reachable
	probeInterval     = 50 * time.Millisecond // between two readiness probes of a daemon
	maxEmptyTime      = 3 * time.Second       // from publishing the table to the last new request in the emptied data centre
	maxActivationTime = 3 * time.Second       // from publishing the table until it is in force on all daemons
	stopTimeout       = 30 * time.Second      // for a graceful stop, and for a change to be in force
	callerTimeout     = 20 * time.Second      // time-out of a caller's request
	loweredCap        = 3                     // concurrency cap of the second account after the change
)

// Run starts a fleet, sends it the requests and returns the results. It fails if the fleet can't be started or an
// event of the run fails; broken promises are not an error but listed in the result.
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
		Daemons: o.Daemons, Timing: fleet.DefaultTiming(), DrainTime: drainTime,
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
	go func() { events <- d.runEvents(ctx) }()
	d.sendAll(ctx, newProgressBar(o))
	if err := <-events; err != nil {
		return Result{}, err
	}
	return d.result(time.Since(start)), nil
}

// newProgressBar returns the progress bar of a run, or a silent one if no destination is given.
func newProgressBar(o Options) *progressbar.ProgressBar {
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
