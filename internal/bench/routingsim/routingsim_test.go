package routingsim_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/routingsim"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
)

// short returns options for short runs of the smaller deployment.
func short() routingsim.Options {
	return routingsim.Options{
		Deployments: []string{"slamka"}, Seeds: []uint64{1}, WarmUp: 8 * time.Second, Length: 15 * time.Second,
	}
}

var capacity = sync.OnceValues(func() (float64, error) { return routingsim.Capacity(short(), "slamka") })

// run runs one policy in one scenario.
func run(t *testing.T, p routingsim.Policy, s routingsim.Scenario) *routingsim.Cell {
	t.Helper()
	o := short()
	o.Policies, o.Scenarios = []routingsim.Policy{p}, []routingsim.Scenario{s}
	var err error
	if o.Capacity, err = capacity(); err != nil {
		t.Fatal(err)
	}
	r, err := routingsim.New(o, nil).Run()
	if err != nil {
		t.Fatal(err)
	}
	return r.Cells[0]
}

var (
	daemon     = routingsim.Policy{Name: routingsim.DaemonPolicy, Strategy: strategy.Predicted{}, Admission: true}
	roundRobin = routingsim.Policy{Name: "round robin", Strategy: strategy.RoundRobin{}}
)

const (
	minAttainment     = 0.99 // at 0.8 of the capacity with a slow engine
	minGoodputShare   = 0.95 // goodput at twice the capacity, as a share of that at 1.1 times the capacity
	maxExtraAttempts  = 0.10 // retries and hedges, as a share of first attempts
	maxAttainmentLoss = 0.01 // attainment that the other accounts may lose to a noisy account
)

// TestSlowEngineCostsNoAttainment guards against a picker that keeps sending requests to
// an engine whose service times have become ten times as long, as round robin does, so
// that they miss their deadline.
func TestSlowEngineCostsNoAttainment(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := routingsim.Scenario{Load: 0.8, Fault: routingsim.SlowEngine}
	withDaemon := run(t, daemon, s)
	g.Expect(withDaemon.Attainment.Mean).To(BeNumerically(">=", minAttainment))
	g.Expect(withDaemon.ExtraAttempts.Mean).To(BeNumerically("<=", maxExtraAttempts))
	g.Expect(run(t, roundRobin, s).Attainment.Mean).To(BeNumerically("<", withDaemon.Attainment.Mean))
}

// TestGoodputHoldsPastCapacity guards against a collapse under overload: if requests are
// admitted that cannot meet their deadline, or hedged, the endpoints' time is wasted on
// them.
func TestGoodputHoldsPastCapacity(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	peak := run(t, daemon, routingsim.Scenario{Load: 1.1})
	twice := run(t, daemon, routingsim.Scenario{Load: 2})
	g.Expect(twice.Goodput.Mean).To(BeNumerically(">=", minGoodputShare*peak.Goodput.Mean))
	g.Expect(twice.Hedges.Mean).To(BeZero(), "hedges at overload")
}

// TestRunsAreTheSameForASeed guards against runs that depend on anything but their
// options and seed, such as the iteration order of maps. It also checks that retries
// stay bounded while a stage fails a fifth of its calls.
func TestRunsAreTheSameForASeed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := routingsim.Scenario{Load: 0.95, Fault: routingsim.FailingGenerate}
	first, second := run(t, daemon, s), run(t, daemon, s)
	g.Expect(second.Attainment).To(Equal(first.Attainment))
	g.Expect(second.Cost).To(Equal(first.Cost))
	g.Expect(first.ExtraAttempts.Mean).To(BeNumerically("<=", maxExtraAttempts))
}

// TestNoisyAccountDoesNotHarmOthers guards against queues and admission that let an account
// which sends ten times its share displace the requests of the others.
func TestNoisyAccountDoesNotHarmOthers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	alone := run(t, daemon, routingsim.Scenario{Load: 0.8})
	beside := run(t, daemon, routingsim.Scenario{Load: 0.8, Fault: routingsim.NoisyAccount})
	g.Expect(beside.OthersAttainment.Mean).To(BeNumerically(">=", alone.OthersAttainment.Mean-maxAttainmentLoss))
}

// TestPrefixLocalityCutsTheCostOfChats guards against a picker that loses the benefit of
// prefix caches: a chat whose turns go to different engines has its prompt processed
// again by each.
func TestPrefixLocalityCutsTheCostOfChats(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := routingsim.Scenario{Load: 0.8}
	withoutPrefixes := routingsim.Policy{Name: "without prefixes", Strategy: strategy.Predicted{IgnorePrefixes: true}, Admission: true}
	with, without := run(t, daemon, s), run(t, withoutPrefixes, s)
	g.Expect(with.ChatCost.Mean).To(BeNumerically("<", without.ChatCost.Mean))
	g.Expect(with.Attainment.Mean).To(BeNumerically(">=", without.Attainment.Mean))
}
