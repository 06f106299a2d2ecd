// Package spread measures how the table spreads over many instances: how long a
// change takes, and what it costs the platform and the peers.
package spread

// This file defines Options, Result and Run.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/bench/rows"
	"github.com/jacinthstile/jacinthstile/internal/bench/swarm"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const (
	together = 42 // instances of a data centre that start at once
	burst    = 100
	awaiting = 30 * time.Second
)

// Options chooses the run.
type Options struct {
	Instances int
	Rows      rows.Options
	Steady    time.Duration // length of the steady state
	Burst     time.Duration // length of the burst of 100 changes
	Seed      uint64
}

// Result is what a run showed. Calls count a waiting watch as one when it begins.
type Result struct {
	Instances int         `json:"instances"`
	Start     Measurement `json:"start"`    // all instances with no table anywhere
	Steady    Measurement `json:"steady"`   // no change
	Change    Measurement `json:"change"`   // one change
	Burst     Measurement `json:"burst"`    // 100 changes
	Together  Measurement `json:"together"` // a data centre's instances start beside the others
	Alone     Measurement `json:"alone"`    // one change while the platform is down for all but one
}

// Measurement is the cost of one step.
type Measurement struct {
	Length  float64 `json:"length"`  // seconds that the step took
	Force   float64 `json:"force"`   // seconds from publication until the last change is in force everywhere
	Calls   int64   `json:"calls"`   // platform calls in all
	Peak    int64   `json:"peak"`    // platform calls in the busiest second
	Waiting int     `json:"waiting"` // watches that wait at the platform at once, at most
	Rounds  float64 `json:"rounds"`  // tables put in force for each instance
	Bytes   float64 `json:"bytes"`   // bytes a second over peer sessions for each instance, both ways
}

type run struct {
	options Options
	swarm   *swarm.Swarm
	table   *fleettable.Table
	rng     *rand.Rand
}

// Run starts a swarm and takes all measurements.
func Run(ctx context.Context, o Options, log logr.Logger) (Result, error) {
	table, err := rows.Table(o.Rows)
	if err != nil {
		return Result{}, err
	}
	s, stop := swarm.New(ctx, log)
	defer stop()
	r := &run{options: o, swarm: s, table: table, rng: rand.New(rand.NewPCG(o.Seed, 0))}
	return r.all()
}

func (r *run) all() (Result, error) {
	out := Result{Instances: r.options.Instances}
	for _, step := range []struct {
		name string
		into *Measurement
		do   func() (time.Duration, error)
	}{
		{"start", &out.Start, r.start},
		{"steady", &out.Steady, r.steady},
		{"change", &out.Change, r.change},
		{"burst", &out.Burst, r.burst},
		{"together", &out.Together, r.together},
		{"alone", &out.Alone, r.alone},
	} {
		m, err := r.measure(step.do)
		if err != nil {
			return out, fmt.Errorf("step %s: %w", step.name, err)
		}
		*step.into = m
	}
	return out, nil
}

func (r *run) start() (time.Duration, error) {
	if err := r.swarm.Publish(r.table); err != nil {
		return 0, err
	}
	if err := r.swarm.Add(r.options.Instances); err != nil {
		return 0, err
	}
	return r.swarm.Await(r.table.Version, awaiting)
}

func (r *run) steady() (time.Duration, error) {
	time.Sleep(r.options.Steady)
	return 0, nil
}

func (r *run) change() (time.Duration, error) {
	if err := r.next(); err != nil {
		return 0, err
	}
	return r.swarm.Await(r.table.Version, awaiting)
}

func (r *run) burst() (time.Duration, error) {
	tick := time.NewTicker(r.options.Burst / burst)
	defer tick.Stop()
	for range burst {
		if err := r.next(); err != nil {
			return 0, err
		}
		<-tick.C
	}
	return r.swarm.Await(r.table.Version, awaiting)
}

func (r *run) together() (time.Duration, error) {
	if err := r.swarm.Add(min(together, r.options.Instances)); err != nil {
		return 0, err
	}
	return r.swarm.Await(r.table.Version, awaiting)
}

func (r *run) alone() (time.Duration, error) {
	only := r.rng.IntN(len(r.swarm.Nodes))
	for i, n := range r.swarm.Nodes {
		n.Gate.Set(i == only)
	}
	defer func() {
		for _, n := range r.swarm.Nodes {
			n.Gate.Set(true)
		}
	}()
	return r.change()
}

// next publishes the table with one row changed.
func (r *run) next() error {
	t := *r.table
	t.Version++
	t.Endpoints = append(t.Endpoints[:0:0], t.Endpoints...)
	t.Endpoints[r.rng.IntN(len(t.Endpoints))].Weight = r.rng.Float64()
	r.table = &t
	return r.swarm.Publish(r.table)
}
