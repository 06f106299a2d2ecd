// Package routingsim simulates request routing in virtual time. It runs the daemon's
// admission and routing packages against simulated endpoints and compares them with
// common load-balancing policies. The result of a run depends on its options and seed
// only.
//
// An endpoint is modelled by its number of slots, a prefix cache, a time to the first
// token that grows with the prompt tokens that are not cached, and a time for each
// generated token that grows with the batch. There are several entry instances; each
// has its own endpoint statistics and does not see the calls of the others. The
// package does no network I/O. Runs execute in parallel and share no state; only
// Report.Plot writes files.
package routingsim

// This file defines Experiment, Options, Policy and Scenario.

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

// maxDeadline is the longest deadline of the example deployments. Load reports continue
// for this long after the last arrival, until the last request has ended.
const maxDeadline = 8 * time.Second

// Policy is a way to serve requests: a strategy that chooses endpoints, and whether
// there are admission control, queues, a retry budget and hedged requests.
type Policy struct {
	Name      string
	Strategy  strategy.Strategy
	Admission bool
}

// DaemonPolicy is the name of the daemon's policy in reports.
const DaemonPolicy = "ours"

// Policies returns the policies that are compared: the daemon's and the baselines.
// The baselines have no admission control: they send each request at once, so that it
// queues at the endpoint, and retry it up to twice.
func Policies() []Policy {
	return []Policy{
		{"random", strategy.Random{}, false},
		{"round robin", strategy.RoundRobin{}, false},
		{"least in flight", strategy.LeastInFlight{}, false},
		{"two choices", strategy.TwoChoices{}, false},
		{DaemonPolicy, strategy.Predicted{}, true},
	}
}

// Ablations returns the daemon's policy and variants of it that each lack one part.
func Ablations() []Policy {
	return []Policy{
		{DaemonPolicy, strategy.Predicted{}, true},
		{"ours without locality", strategy.Predicted{IgnorePrefixes: true}, true},
		{"two choices with admission", strategy.TwoChoices{}, true},
	}
}

// Scenario is an offered load, as a multiple of the deployment's capacity, and a fault.
type Scenario struct {
	Load  float64
	Fault Fault
}

// Scenarios returns several loads without a fault, and each fault at faultLoad.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1, 1.5, 2} {
		list = append(list, Scenario{load, NoFault})
	}
	for _, f := range Faults()[1:] {
		list = append(list, Scenario{faultLoad, f})
	}
	return list
}

// faultLoad is the offered load of the scenarios with a fault.
const faultLoad = 0.8

// Options defines the grid of runs.
type Options struct {
	Deployments []string
	Policies    []Policy
	Scenarios   []Scenario
	Seeds       []uint64
	WarmUp      time.Duration // virtual time before requests are counted and the fault begins
	Length      time.Duration // virtual time after the warm-up during which requests arrive and are counted
	Capacity    float64       // capacity of each deployment in requests a second; measured if zero
	Parallelism int           // maximum number of runs at a time
	MaxTraces   int           // number of unanswered requests in each run whose trace is reported
}

// Experiment runs each policy in each scenario of each deployment with each seed.
type Experiment struct {
	options   Options
	onRunDone func()
}

// New returns an experiment that calls onRunDone after each run, never concurrently.
// onRunDone may be nil.
func New(o Options, onRunDone func()) *Experiment {
	if onRunDone == nil {
		onRunDone = func() {}
	}
	return &Experiment{options: o, onRunDone: onRunDone}
}

// NumRuns returns the number of runs.
func (x *Experiment) NumRuns() int {
	o := x.options
	return len(o.Deployments) * len(o.Policies) * len(o.Scenarios) * len(o.Seeds)
}

// Run executes all runs. The report is the same for the same options.
func (x *Experiment) Run() (*Report, error) {
	report := new(Report)
	var group errgroup.Group
	group.SetLimit(max(1, x.options.Parallelism))
	var mu sync.Mutex
	for _, deployment := range x.options.Deployments {
		capacity, err := x.capacity(deployment)
		if err != nil {
			return nil, err
		}
		report.Capacities = append(report.Capacities, MeasuredCapacity{deployment, capacity})
		for _, scenario := range x.options.Scenarios {
			for _, p := range x.options.Policies {
				c := &Cell{Deployment: deployment, Policy: p.Name, Load: scenario.Load, Fault: scenario.Fault}
				c.results = make([]result, len(x.options.Seeds))
				report.Cells = append(report.Cells, c)
				for i, seed := range x.options.Seeds {
					group.Go(func() error {
						s, err := newSimulation(x.options, deployment, p, scenario.Load, scenario.Fault, seed)
						if err != nil {
							return err
						}
						s.run(capacity)
						c.results[i] = s.result()
						mu.Lock()
						defer mu.Unlock()
						x.onRunDone()
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
		c.aggregate()
	}
	return report, nil
}

// capacity returns the capacity that the options set, or else measures it.
func (x *Experiment) capacity(deployment string) (float64, error) {
	if x.options.Capacity > 0 {
		return x.options.Capacity, nil
	}
	return Capacity(x.options, deployment)
}

// Capacity measures how many requests a second the simulated endpoints of a deployment
// can serve. It overloads them under the least-in-flight strategy, lets no request
// expire, and counts the generations completed after the warm-up. As plainShare of the
// requests run no generation, the rate of generations is scaled up accordingly. The
// offered load is 300 requests a second for 20 engines.
func Capacity(o Options, deployment string) (float64, error) {
	const seed, guess, more = 1, 150.0, 2.0
	s, err := newSimulation(o, deployment, Policy{Name: "capacity", Strategy: strategy.LeastInFlight{}}, more, NoFault, seed)
	if err != nil {
		return 0, err
	}
	s.noDeadlines = true
	s.run(guess * float64(len(s.table.EndpointsByRole("generate"))) / 20)
	return float64(s.generated) / o.Length.Seconds() / (1 - plainShare), nil
}

// tableOf reads the table of an example deployment.
func tableOf(deployment string) (*fleettable.Table, error) {
	data, err := examples.Files.ReadFile(path.Join(deployment, "table.json"))
	if err != nil {
		return nil, fmt.Errorf("reading the table of %s: %w", deployment, err)
	}
	return fleettable.Parse(data)
}
