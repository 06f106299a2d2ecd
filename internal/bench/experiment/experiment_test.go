package experiment_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/experiment"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
)

// short sets short runs of the smaller deployment.
func short() experiment.Options {
	return experiment.Options{
		Deployments: []string{"slamka"}, Seeds: []uint64{1}, Warm: 8 * time.Second, Length: 15 * time.Second,
	}
}

var capacity = sync.OnceValues(func() (float64, error) { return experiment.Capacity(short(), "slamka") })

// run runs one cell.
func run(t *testing.T, p experiment.Policy, s experiment.Scenario) *experiment.Cell {
	t.Helper()
	o := short()
	o.Policies, o.Scenarios = []experiment.Policy{p}, []experiment.Scenario{s}
	var err error
	if o.Capacity, err = capacity(); err != nil {
		t.Fatal(err)
	}
	r, err := experiment.New(o, nil).Run()
	if err != nil {
		t.Fatal(err)
	}
	return r.Cells[0]
}

var (
	ours       = experiment.Policy{Name: experiment.Ours, Rule: strategy.Predicted{}, Admission: true}
	roundRobin = experiment.Policy{Name: "round robin", Rule: strategy.RoundRobin{}}
)

const (
	leastAttainment = 0.99 // at 0.8 of the capacity with a slow engine
	leastGoodput    = 0.95 // at twice the capacity, of that just above it
	mostExtra       = 0.10 // retries and hedges, of first attempts
	mostHarm        = 0.01 // attainment that one account's greed may cost the others
)

func TestSlowEngineCostsNoAttainment(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := experiment.Scenario{Load: 0.8, Fault: experiment.SlowEngine}
	own := run(t, ours, s)
	g.Expect(own.Attainment.Mean).To(BeNumerically(">=", leastAttainment))
	g.Expect(own.Extra.Mean).To(BeNumerically("<=", mostExtra))
	g.Expect(run(t, roundRobin, s).Attainment.Mean).To(BeNumerically("<", own.Attainment.Mean))
}

func TestGoodputHoldsPastCapacity(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	peak := run(t, ours, experiment.Scenario{Load: 1.1})
	twice := run(t, ours, experiment.Scenario{Load: 2})
	g.Expect(twice.Goodput.Mean).To(BeNumerically(">=", leastGoodput*peak.Goodput.Mean))
	g.Expect(twice.Hedges.Mean).To(BeZero(), "hedges at overload")
}

func TestRunsAreTheSameForASeed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := experiment.Scenario{Load: 0.95, Fault: experiment.FailingGenerate}
	first, second := run(t, ours, s), run(t, ours, s)
	g.Expect(second.Attainment).To(Equal(first.Attainment))
	g.Expect(second.Cost).To(Equal(first.Cost))
	g.Expect(first.Extra.Mean).To(BeNumerically("<=", mostExtra))
}

func TestGreedyAccountDoesNotHarmOthers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	alone := run(t, ours, experiment.Scenario{Load: 0.8})
	beside := run(t, ours, experiment.Scenario{Load: 0.8, Fault: experiment.Hog})
	g.Expect(beside.Others.Mean).To(BeNumerically(">=", alone.Others.Mean-mostHarm))
}

func TestPrefixLocalityCutsTheCostOfChats(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := experiment.Scenario{Load: 0.8}
	blind := experiment.Policy{Name: "blind", Rule: strategy.Predicted{IgnorePrefixes: true}, Admission: true}
	with, without := run(t, ours, s), run(t, blind, s)
	g.Expect(with.Chat.Mean).To(BeNumerically("<", without.Chat.Mean))
	g.Expect(with.Attainment.Mean).To(BeNumerically(">=", without.Attainment.Mean))
}
