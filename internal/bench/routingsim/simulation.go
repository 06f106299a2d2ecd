package routingsim

// This file defines simulation, one run of one policy.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/admission/servicetime"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const (
	numInstances        = 6                      // entry instances
	reportInterval      = 250 * time.Millisecond // between two load reports of an endpoint
	reportDelay         = 100 * time.Millisecond // from a load report's sending to its arrival at the instances
	lateReportDelay     = 2 * time.Second        // the same with the fault LateReports
	cacheEventDelay     = 500 * time.Millisecond // from a change of a prefix cache to the event's arrival
	cacheEventLoss      = 0.02                   // share of the cache events that an instance does not receive
	faultCacheEventLoss = 0.3                    // the same with the fault CacheGaps
	faultFailureShare   = 0.2                    // share of a role's calls that fail with FailingRetrieve or FailingGenerate
	burstFactor         = 5                      // multiple of the arrival rate with the fault Burst
	burstLength         = 5 * time.Second
	instanceListDelay   = 5 * time.Second // from the crash of an endpoint until the platform's instance list shows it
	tableChangeDelay    = 2 * time.Second // upper bound on the time until a table change is in force on all instances
)

// simulation is the state of one run. It is used by one goroutine.
type simulation struct {
	options       Options
	deployment    string
	policy        Policy
	load          float64
	fault         Fault
	loop          *eventLoop
	rng           *rand.Rand
	table         *fleettable.Table
	retryShares   retry.Shares
	workload      *workload
	endpoints     map[string]*fakeEndpoint
	endpointList  []*fakeEndpoint // endpoints in the order of the table
	instances     []*instance
	counters      *counters
	lastID        int       // newest id of a request or attempt
	end           time.Time // when the last request arrives
	emptiedCentre string    // name of the data centre whose weight was set to zero
	noDeadlines   bool      // no request expires
	generated     int       // calls of engines that succeeded after the warm-up and before end
}

func newSimulation(o Options, deployment string, p Policy, load float64, f Fault, seed uint64) (*simulation, error) {
	t, err := tableOf(deployment)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		options: o, deployment: deployment, policy: p, load: load, fault: f, table: t,
		loop:        &eventLoop{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		rng:         rand.New(rand.NewPCG(seed, 7)),
		retryShares: retry.Shares{Retry: t.Policy.Retry, Hedge: t.Policy.Hedge},
		endpoints:   make(map[string]*fakeEndpoint),
		counters:    newCounters(o.MaxTraces),
	}
	s.end = s.loop.now.Add(o.WarmUp + o.Length)
	s.workload = newWorkload(t, rand.New(rand.NewPCG(seed, 1)))
	for i := range t.Endpoints {
		ep := newFakeEndpoint(&t.Endpoints[i], s.loop, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		ep.onCacheEvent = s.publishCacheEvent
		s.endpoints[ep.Name] = ep
		s.endpointList = append(s.endpointList, ep)
	}
	for i := range numInstances {
		s.instances = append(s.instances, s.newInstance(i, seed))
	}
	return s, nil
}

func (s *simulation) newInstance(i int, seed uint64) *instance {
	in := &instance{
		sim: s, centre: s.table.Centres[i%len(s.table.Centres)].Name,
		stats: endpointstats.New(), retryBudget: retry.New(), stageTimes: servicetime.New(), firstTokenTimes: servicetime.New(),
		queues: make(map[string]*queue.Queue[*request]),
	}
	in.picker = picker.New(in.centre, s.policy.Strategy, in.stats, seed<<8+uint64(i))
	in.picker.SetSeat(i, numInstances)
	return in
}

// run simulates arrivals until end, and then runs until all requests are done.
// capacity is the deployment's capacity in requests a second.
func (s *simulation) run(capacity float64) {
	s.startFault()
	s.arriveNext(capacity)
	s.reportLoads()
	s.loop.run()
}

// arriveNext schedules the next arrival of a Poisson process.
func (s *simulation) arriveNext(capacity float64) {
	rate := s.load * capacity * s.workload.loadFactor()
	if from := s.faultTime(); s.fault == Burst && !s.loop.now.Before(from) && s.loop.now.Before(from.Add(burstLength)) {
		rate *= burstFactor
	}
	s.loop.schedule(time.Duration(s.workload.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.now.After(s.end) {
			return
		}
		s.arrive()
		s.arriveNext(capacity)
	})
}

func (s *simulation) arrive() {
	r := s.workload.draw()
	s.lastID++
	r.id = s.lastID
	r.instance = s.instances[s.workload.rng.IntN(len(s.instances))]
	r.arrived = s.loop.now
	r.deadline = r.arrived.Add(r.pipeline.Deadline.Duration())
	r.measured = !r.arrived.Before(s.end.Add(-s.options.Length))
	r.instance.receive(r)
}

// reportLoads sends the load of all endpoints to all entry instances, where it
// arrives after a delay, and schedules itself. Instances dispatch their queued
// requests when they receive the reports.
func (s *simulation) reportLoads() {
	delay := reportDelay
	if s.fault == LateReports {
		delay = lateReportDelay
	}
	for _, ep := range s.endpointList {
		if ep.dead {
			continue
		}
		load := ep.load()
		load.Age = delay
		s.loop.schedule(delay, func() {
			for _, in := range s.instances {
				in.stats.Report(ep.Name, load, s.loop.now)
			}
		})
	}
	s.loop.schedule(delay, func() {
		for _, in := range s.instances {
			for _, role := range in.roles {
				in.dispatchQueued(role, "")
			}
		}
	})
	if s.loop.now.Before(s.end.Add(maxDeadline)) {
		s.loop.schedule(reportInterval, s.reportLoads)
	}
}

// publishCacheEvent sends a cache event to the entry instances. It arrives after a
// delay, and a share of the events is lost.
func (s *simulation) publishCacheEvent(ep *fakeEndpoint, blocks []uint64, drop bool) {
	if _, ok := s.policy.Strategy.(strategy.Predicted); !ok {
		return // the other strategies do not use cache contents
	}
	loss := cacheEventLoss
	if s.fault == CacheGaps {
		loss = faultCacheEventLoss
	}
	for _, in := range s.instances {
		if s.rng.Float64() < loss {
			continue
		}
		s.loop.schedule(cacheEventDelay, func() { in.stats.RecordCacheEvent(ep.Name, blocks, drop) })
	}
}

// faultTime returns when the fault begins, which is the end of the warm-up.
func (s *simulation) faultTime() time.Time { return s.end.Add(-s.options.Length) }

// startFault schedules the fault of the run. NoisyAccount applies from the start of
// the run. Burst, LateReports and CacheGaps are applied by arriveNext, reportLoads and
// publishCacheEvent.
func (s *simulation) startFault() {
	s.loop.schedule(s.faultTime().Sub(s.loop.now), func() {
		switch s.fault {
		case NoFault, Burst, LateReports, CacheGaps:
		case SlowEngine:
			s.firstEngine().slow = true
		case DyingEngine:
			ep := s.firstEngine()
			ep.crash()
			s.loop.schedule(instanceListDelay, func() { s.setLeaving(ep.Name) })
		case FailingRetrieve:
			s.failRole("retrieve")
		case FailingGenerate:
			s.failRole("generate")
		case EmptiedCentre:
			s.loop.schedule(tableChangeDelay, s.emptyCentre)
		case NoisyAccount:
		default:
			panic(fmt.Sprintf("routingsim: got %s, want a fault", s.fault))
		}
	})
	if s.fault == NoisyAccount {
		s.workload.noisyAccount = &s.table.Accounts[len(s.table.Accounts)/2]
	}
}

func (s *simulation) firstEngine() *fakeEndpoint {
	for _, ep := range s.endpointList {
		if ep.Kind == endpoint.Engine {
			return ep
		}
	}
	panic("routingsim: the table has no engine")
}

func (s *simulation) failRole(role string) {
	for _, ep := range s.endpointList {
		if ep.Role == role {
			ep.failureShare = faultFailureShare
		}
	}
}

func (s *simulation) setLeaving(name string) {
	for _, in := range s.instances {
		in.stats.SetLeaving(map[string]bool{name: true})
	}
}

// emptyCentre puts a table in force in which the last data centre has weight zero.
// The last one is chosen because models that only one data centre holds are in the
// first.
func (s *simulation) emptyCentre() {
	table, err := tableOf(s.deployment)
	if err != nil {
		panic(err)
	}
	table.Version++
	last := &table.Centres[len(table.Centres)-1]
	last.Weight = 0
	s.emptiedCentre = last.Name
	s.table = table
}
