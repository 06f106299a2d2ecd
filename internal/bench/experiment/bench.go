package experiment

// This file defines bench, one run of one policy.

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
	entries     = 6 // entry instances
	reportEvery = 250 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	lateLag     = 2 * time.Second
	cacheLag    = 500 * time.Millisecond
	cacheGaps   = 0.02
	manyGaps    = 0.3
	failShare   = 0.2
	burstTimes  = 5
	burstFor    = 5 * time.Second
	listLag     = 5 * time.Second // until the instance list shows a dead endpoint
	tableLag    = 2 * time.Second // until a table change is in force everywhere, at most
)

// bench is the state of one run.
type bench struct {
	options    Options
	deployment string
	policy     Policy
	load       float64
	fault      Fault
	line       *timeline
	random     *rand.Rand
	table      *fleettable.Table
	share      retry.Shares
	work       *workload
	workers    map[string]*worker
	order      []*worker
	entries    []*entry
	tally      *tally
	attempts   int
	end        time.Time
	emptied    string // name of the data centre without weight
	endless    bool   // no request has a deadline
	made       int    // generations that ended after the warm-up and before the end
}

func newBench(o Options, deployment string, p Policy, load float64, f Fault, seed uint64) (*bench, error) {
	t, err := tableOf(deployment)
	if err != nil {
		return nil, err
	}
	b := &bench{
		options: o, deployment: deployment, policy: p, load: load, fault: f, table: t,
		line:    &timeline{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		random:  rand.New(rand.NewPCG(seed, 7)),
		share:   retry.Shares{Retry: t.Policy.Retry, Hedge: t.Policy.Hedge},
		workers: make(map[string]*worker),
		tally:   newTally(o.Traces),
	}
	b.end = b.line.now.Add(o.Warm + o.Length)
	b.work = newWorkload(t, rand.New(rand.NewPCG(seed, 1)))
	for i := range t.Endpoints {
		w := newWorker(&t.Endpoints[i], b.line, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		w.cached = b.publish
		b.workers[w.Name] = w
		b.order = append(b.order, w)
	}
	for i := range entries {
		b.entries = append(b.entries, b.newEntry(i, seed))
	}
	return b, nil
}

func (b *bench) newEntry(i int, seed uint64) *entry {
	e := &entry{
		bench: b, centre: b.table.Centres[i%len(b.table.Centres)].Name,
		board: endpointstats.New(), budget: retry.New(), schedule: servicetime.New(), firsts: servicetime.New(),
		queues: make(map[string]*queue.Queue[*request]),
	}
	e.picker = picker.New(e.centre, b.policy.Rule, e.board, seed<<8+uint64(i))
	e.picker.SetSeat(i, entries)
	return e
}

// run runs the whole length and lets everything end.
func (b *bench) run(capacity float64) {
	b.startFault()
	b.arriveNext(capacity)
	b.report()
	b.line.run()
}

// arriveNext makes a Poisson process of arrivals.
func (b *bench) arriveNext(capacity float64) {
	rate := b.load * capacity * b.work.growth()
	if from := b.faultAt(); b.fault == Burst && !b.line.now.Before(from) && b.line.now.Before(from.Add(burstFor)) {
		rate *= burstTimes
	}
	b.line.after(time.Duration(b.work.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if b.line.now.After(b.end) {
			return
		}
		b.arrive()
		b.arriveNext(capacity)
	})
}

func (b *bench) arrive() {
	r := b.work.next()
	b.attempts++
	r.id = b.attempts
	r.entry = b.entries[b.work.random.IntN(len(b.entries))]
	r.arrived = b.line.now
	r.deadline = r.arrived.Add(r.pipeline.Deadline.Duration())
	r.counted = !r.arrived.Before(b.end.Add(-b.options.Length))
	r.entry.arrive(r)
}

// report sends the load of all endpoints to all entry instances, late.
func (b *bench) report() {
	lag := reportLag
	if b.fault == LateReports {
		lag = lateLag
	}
	for _, w := range b.order {
		if w.dead {
			continue
		}
		l := w.load()
		l.Age = lag
		b.line.after(lag, func() {
			for _, e := range b.entries {
				e.board.Report(w.Name, l, b.line.now)
			}
		})
	}
	b.line.after(lag, func() {
		for _, e := range b.entries {
			for _, role := range e.roles {
				e.dispatch(role, "")
			}
		}
	})
	if b.line.now.Before(b.end.Add(mostDeadline)) {
		b.line.after(reportEvery, b.report)
	}
}

// publish sends a cache event to the entry instances, late and with gaps.
func (b *bench) publish(w *worker, blocks []uint64, drop bool) {
	if _, ok := b.policy.Rule.(strategy.Predicted); !ok {
		return // the other rules don't look at caches
	}
	gaps := cacheGaps
	if b.fault == CacheGaps {
		gaps = manyGaps
	}
	for _, e := range b.entries {
		if b.random.Float64() < gaps {
			continue
		}
		b.line.after(cacheLag, func() { e.board.RecordCacheEvent(w.Name, blocks, drop) })
	}
}

func (b *bench) faultAt() time.Time { return b.end.Add(-b.options.Length) }

func (b *bench) startFault() {
	b.line.after(b.faultAt().Sub(b.line.now), func() {
		switch b.fault {
		case None, Burst, LateReports, CacheGaps:
		case SlowEngine:
			b.firstEngine().slow = true
		case DyingEngine:
			w := b.firstEngine()
			w.die()
			b.line.after(listLag, func() { b.setLeaving(w.Name) })
		case FailingRetrieve:
			b.failRole("retrieve")
		case FailingGenerate:
			b.failRole("generate")
		case EmptiedCentre:
			b.line.after(tableLag, b.emptyCentre)
		case Hog:
		default:
			panic(fmt.Sprintf("experiment: got %s, want a fault", b.fault))
		}
	})
	if b.fault == Hog {
		b.work.hog = &b.table.Accounts[len(b.table.Accounts)/2]
	}
}

func (b *bench) firstEngine() *worker {
	for _, w := range b.order {
		if w.Kind == endpoint.Engine {
			return w
		}
	}
	panic("experiment: the table has no engine")
}

func (b *bench) failRole(role string) {
	for _, w := range b.order {
		if w.Role == role {
			w.failing = failShare
		}
	}
}

func (b *bench) setLeaving(name string) {
	for _, e := range b.entries {
		e.board.SetLeaving(map[string]bool{name: true})
	}
}

// emptyCentre puts a table in force that gives the last data centre weight
// zero. Models that are held in one data centre alone are in the first.
func (b *bench) emptyCentre() {
	t, err := tableOf(b.deployment)
	if err != nil {
		panic(err)
	}
	t.Version++
	last := &t.Centres[len(t.Centres)-1]
	last.Weight = 0
	b.emptied = last.Name
	b.table = t
}
