// Package propagation measures how a change of the table propagates to many instances: how long it takes until all use it,
// and the load on the platform and on the sessions between peers. The instances run in this process and use TCP on
// loopback.
package propagation

// This file defines Options, Result and Run.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/bench/synccluster"
	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const (
	instancesPerCentre = 42               // instances of a data centre that start at the same time
	burstChanges       = 100              // changes in a burst
	activationTimeout  = 30 * time.Second // for a table to be in force everywhere
)

// Options are the parameters of a run.
type Options struct {
	Instances int
	Rows      tablegen.Options // size of the table
	Steady    time.Duration    // length of the step without a change
	Burst     time.Duration    // length of the burst of 100 changes
	Seed      uint64
}

// Result holds the measurements of a run. A watch that waits at the platform counts as one call, when it begins.
type Result struct {
	Instances    int         `json:"instances"`
	Start        Measurement `json:"start"`    // cold start: all instances start and none has a table
	Steady       Measurement `json:"steady"`   // no change
	Change       Measurement `json:"change"`   // one change
	Burst        Measurement `json:"burst"`    // 100 changes
	CentreStart  Measurement `json:"together"` // all instances of one more data centre start while the others run
	OneReachable Measurement `json:"alone"`    // one change while the platform can be reached from one instance only
}

// Measurement is the cost of one step.
type Measurement struct {
	Length         float64 `json:"length"`  // duration of the step in seconds
	ActivationTime float64 `json:"force"`   // seconds from the end of publishing until the last change is in force on all instances
	Calls          int64   `json:"calls"`   // platform calls of all instances
	Peak           int64   `json:"peak"`    // platform calls in the busiest second
	Waiting        int     `json:"waiting"` // maximum number of watches that wait at the platform at the same time: 2 per instance
	Rounds         float64 `json:"rounds"`  // tables put in force, per instance
	Bytes          float64 `json:"bytes"`   // bytes a second over peer sessions, sent and received, per instance
}

// run is the state of one run.
type run struct {
	options Options
	cluster *synccluster.Cluster
	table   *fleettable.Table
	rng     *rand.Rand
}

// Run starts a cluster, runs all steps in order and returns their measurements. It fails if a table is not in force on
// all instances within 30 s.
func Run(ctx context.Context, o Options, log logr.Logger) (Result, error) {
	table, err := tablegen.Generate(o.Rows)
	if err != nil {
		return Result{}, err
	}
	c, stop := synccluster.New(ctx, log)
	defer stop()
	r := &run{options: o, cluster: c, table: table, rng: rand.New(rand.NewPCG(o.Seed, 0))}
	return r.all()
}

// all runs the steps in the order of the fields of Result.
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
		{"together", &out.CentreStart, r.centreStart},
		{"alone", &out.OneReachable, r.oneReachable},
	} {
		m, err := r.measure(step.do)
		if err != nil {
			return out, fmt.Errorf("step %s: %w", step.name, err)
		}
		*step.into = m
	}
	return out, nil
}

// start publishes the first table and starts the instances.
func (r *run) start() (time.Duration, error) {
	if err := r.cluster.Publish(r.table); err != nil {
		return 0, err
	}
	if err := r.cluster.Add(r.options.Instances); err != nil {
		return 0, err
	}
	return r.cluster.WaitForVersion(r.table.Version, activationTimeout)
}

// steady waits without a change.
func (r *run) steady() (time.Duration, error) {
	time.Sleep(r.options.Steady)
	return 0, nil
}

// change publishes one change.
func (r *run) change() (time.Duration, error) {
	if err := r.publishChange(); err != nil {
		return 0, err
	}
	return r.cluster.WaitForVersion(r.table.Version, activationTimeout)
}

// burst publishes the changes of a burst at a constant rate.
func (r *run) burst() (time.Duration, error) {
	tick := time.NewTicker(r.options.Burst / burstChanges)
	defer tick.Stop()
	for range burstChanges {
		if err := r.publishChange(); err != nil {
			return 0, err
		}
		<-tick.C
	}
	return r.cluster.WaitForVersion(r.table.Version, activationTimeout)
}

// centreStart starts the instances of one more data centre.
func (r *run) centreStart() (time.Duration, error) {
	if err := r.cluster.Add(min(instancesPerCentre, r.options.Instances)); err != nil {
		return 0, err
	}
	return r.cluster.WaitForVersion(r.table.Version, activationTimeout)
}

// oneReachable publishes one change while the platform can be reached from one random instance only; the others have to
// get it from their peers.
func (r *run) oneReachable() (time.Duration, error) {
	reachable := r.rng.IntN(len(r.cluster.Nodes))
	for i, n := range r.cluster.Nodes {
		n.Source.SetReachable(i == reachable)
	}
	defer func() {
		for _, n := range r.cluster.Nodes {
			n.Source.SetReachable(true)
		}
	}()
	return r.change()
}

// publishChange publishes a new version of the table with the weight of one random endpoint changed.
func (r *run) publishChange() error {
	t := *r.table
	t.Version++
	t.Endpoints = append(t.Endpoints[:0:0], t.Endpoints...)
	t.Endpoints[r.rng.IntN(len(t.Endpoints))].Weight = r.rng.Float64()
	r.table = &t
	return r.cluster.Publish(r.table)
}
