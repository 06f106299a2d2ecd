// Package experiment runs the decision packages of the daemon against small
// fakes of endpoints, in virtual time, and compares them with the plain
// policies of the field. A run is a function of its seed.
//
// The fakes are a service-time model: slots, a prefix cache, a time to the
// first token that grows with the prompt tokens that are not cached, and a
// time for each token that grows with the batch. Several entry instances, each
// with endpoint statistics of its own, don't see each other's calls.
package experiment

// This file defines Experiment, Options and Policy.

import (
	"fmt"
	"path"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const mostDeadline = 8 * time.Second

// Policy is a way to serve requests: a rule that chooses endpoints, with or
// without admission, queues, budgets and hedges.
type Policy struct {
	Name      string
	Rule      strategy.Strategy
	Admission bool
}

// Ours is the name of the daemon's own policy.
const Ours = "ours"

// Policies returns the policies that are compared. Those without admission
// send at once, retry up to twice and wait at the endpoint.
func Policies() []Policy {
	return []Policy{
		{"random", strategy.Random{}, false},
		{"round robin", strategy.RoundRobin{}, false},
		{"least in flight", strategy.LeastInFlight{}, false},
		{"two choices", strategy.TwoChoices{}, false},
		{Ours, strategy.Predicted{}, true},
	}
}

// Ablations returns our policy and what is left of it without one of its parts.
func Ablations() []Policy {
	return []Policy{
		{Ours, strategy.Predicted{}, true},
		{"ours without locality", strategy.Predicted{IgnorePrefixes: true}, true},
		{"two choices with admission", strategy.TwoChoices{}, true},
	}
}

// Scenario is an offered load, as a multiple of the capacity, and a fault.
type Scenario struct {
	Load  float64
	Fault Fault
}

// Scenarios returns the loads without a fault, and each fault at 0.8 of the capacity.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1, 1.5, 2} {
		list = append(list, Scenario{load, None})
	}
	for _, f := range Faults()[1:] {
		list = append(list, Scenario{faultLoad, f})
	}
	return list
}

const faultLoad = 0.8

// Options sets what is run.
type Options struct {
	Deployments []string
	Policies    []Policy
	Scenarios   []Scenario
	Seeds       []uint64
	Warm        time.Duration // virtual time before anything is counted
	Length      time.Duration // virtual time in which arriving requests are counted
	Capacity    float64       // requests a second of each deployment; measured where zero
	Workers     int           // runs at once
	Traces      int           // failed requests to trace in each run
}

// Experiment runs the grid of its options.
type Experiment struct {
	options Options
	tick    func()
}

// New returns an experiment that calls tick after each run; tick may be nil.
func New(o Options, tick func()) *Experiment {
	if tick == nil {
		tick = func() {}
	}
	return &Experiment{options: o, tick: tick}
}

// Runs returns the number of runs in the grid.
func (x *Experiment) Runs() int {
	o := x.options
	return len(o.Deployments) * len(o.Policies) * len(o.Scenarios) * len(o.Seeds)
}

// Run runs the grid. The report is the same for the same options.
func (x *Experiment) Run() (*Report, error) {
	report := new(Report)
	var group errgroup.Group
	group.SetLimit(max(1, x.options.Workers))
	var mu sync.Mutex
	for _, deployment := range x.options.Deployments {
		capacity, err := x.capacity(deployment)
		if err != nil {
			return nil, err
		}
		report.Capacities = append(report.Capacities, Measured{deployment, capacity})
		for _, s := range x.options.Scenarios {
			for _, p := range x.options.Policies {
				c := &Cell{Deployment: deployment, Policy: p.Name, Load: s.Load, Fault: s.Fault}
				c.samples = make([]sample, len(x.options.Seeds))
				report.Cells = append(report.Cells, c)
				for i, seed := range x.options.Seeds {
					group.Go(func() error {
						b, err := newBench(x.options, deployment, p, s.Load, s.Fault, seed)
						if err != nil {
							return err
						}
						b.run(capacity)
						c.samples[i] = b.sample()
						mu.Lock()
						defer mu.Unlock()
						x.tick()
						return nil
					})
				}
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, c := range report.Cells {
		c.sum()
	}
	return report, nil
}

func (x *Experiment) capacity(deployment string) (float64, error) {
	if x.options.Capacity > 0 {
		return x.options.Capacity, nil
	}
	return Capacity(x.options, deployment)
}

// Capacity measures the requests a second that the fakes of a deployment can
// serve: what least in flight completes when more is offered and nothing has a
// deadline.
func Capacity(o Options, deployment string) (float64, error) {
	const seed, guess, more = 1, 150.0, 2.0
	b, err := newBench(o, deployment, Policy{Name: "capacity", Rule: strategy.LeastInFlight{}}, more, None, seed)
	if err != nil {
		return 0, err
	}
	b.endless = true
	b.run(guess * float64(len(b.table.EndpointsByRole("generate"))) / 20)
	return float64(b.made) / o.Length.Seconds() / (1 - plainShare), nil
}

func tableOf(deployment string) (*fleettable.Table, error) {
	data, err := examples.Files.ReadFile(path.Join(deployment, "table.json"))
	if err != nil {
		return nil, fmt.Errorf("reading the table of %s: %w", deployment, err)
	}
	return fleettable.Parse(data)
}
