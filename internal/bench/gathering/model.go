package gathering

// This file plays a load against schedulers and endpoints.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/scheduler"
)

const (
	hop        = 2 * time.Millisecond   // between any two processes, there
	mostRead   = 4                      // times the mean that an engine reads a prompt at most
	firstEvent = 160 * time.Millisecond // of an engine, once the inputs are there
	refused    = 60 * time.Millisecond  // that an instance waits which found an endpoint full
	spread     = 0.5                    // of the times after which refused callers return
	mostShare  = 3                      // part of the time left that a refused caller waits at most
	six        = 6                      // instances of the smaller deployment
)

// Way is a way to gather stage work.
type Way struct {
	Name   string
	Shares []float64 // of the requests, one for each instance that gathers
	Blind  bool      // every job is taken
	Alone  bool      // instances do not heed that others use the endpoints as well
}

// Ways are what the experiment compares.
func Ways() []Way {
	return []Way{
		{Name: "one gathers", Shares: []float64{1}},
		{Name: "one gathers, all are taken", Shares: []float64{1}, Blind: true},
		{Name: "each for itself", Shares: equal(six), Alone: true},
		{Name: "each for itself, heeding others", Shares: equal(six)},
		{Name: "a third is cut off", Shares: []float64{2. / 3, 1. / 3}, Alone: true},
		{Name: "a third is cut off, heeding others", Shares: []float64{2. / 3, 1. / 3}},
	}
}

func equal(instances int) []float64 {
	shares := make([]float64, instances)
	for i := range shares {
		shares[i] = 1 / float64(instances)
	}
	return shares
}

// Options are the load of one run.
type Options struct {
	Load   float64 // times the usual rates
	Length time.Duration
	Bursts map[string][]arrival.Burst // by class
	Seed   uint64
	// Reading is how long engines read a prompt on average beyond firstEvent.
	Reading time.Duration
	Crash   time.Duration // from when on the first endpoint of each service is dead; zero for never
}

type model struct {
	site    Site
	way     Way
	opts    Options
	rng     *rand.Rand
	now     time.Duration
	events  events
	queues  []*scheduler.Scheduler
	workers []*worker
	result  *Result
	jobs    map[*job.Job]*request
	next    int
}

type request struct {
	class   *Class
	tally   *Tally
	arrived time.Duration
	first   time.Duration // of its engine, once the inputs are there
	tries   int
	queue   int
	job     *job.Job
	worked  time.Duration // by endpoints on its pieces
	index   int           // among the tally's sizes
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run plays one load and returns what became of it.
func Run(s Site, w Way, o Options) *Result {
	m := &model{
		site: s, way: w, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), result: newResult(s), jobs: make(map[*job.Job]*request),
	}
	for range w.Shares {
		m.queues = append(m.queues, scheduler.New())
	}
	for i := range s.Services {
		m.addWorkers(&s.Services[i])
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		p := arrival.New([]arrival.Step{{Rate: c.Rate * o.Load, Length: o.Length}}, o.Bursts[c.Name], o.Seed+uint64(i))
		for a, ok := p.Next(); ok; a, ok = p.Next() {
			m.at(a.At, func() { m.arrive(c) })
		}
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.result
}

// survey tells a scheduler of the endpoints of all services.
func (m *model) survey(q *scheduler.Scheduler) {
	for _, s := range m.site.Services {
		q.UpdateService(s.Name, s.Batch, s.centres, m.clock())
	}
}

// instance draws the one that a request comes to.
func (m *model) instance() int {
	at := m.rng.Float64()
	for i, share := range m.way.Shares {
		if at -= share; at < 0 {
			return i
		}
	}
	return len(m.way.Shares) - 1
}

func (m *model) at(t time.Duration, do func()) { heap.Push(&m.events, event{at: t, do: do}) }

// clock turns the virtual time into the one that the scheduler takes.
func (m *model) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) arrive(c *Class) {
	r := &request{class: c, tally: m.result.Classes[c.Name], arrived: m.now, queue: m.instance()}
	r.first = firstEvent
	if m.opts.Reading > 0 {
		r.first += time.Duration(float64(m.opts.Reading) * min(mostRead, m.rng.ExpFloat64()))
	}
	r.tally.Asked++
	r.tally.sizes = append(r.tally.sizes, size{first: r.first})
	r.index = len(r.tally.sizes) - 1
	m.offer(r)
}

func (m *model) offer(r *request) {
	r.tries++
	c := r.class
	stages := make([]catalog.Stage, len(c.Stages))
	pieces := make([]int, len(c.Stages))
	total := 0
	for i, s := range c.Stages {
		stages[i] = catalog.Stage{Service: s.Service, After: s.After, Bytes: s.Bytes}
		pieces[i] = m.pieces(s)
		total += pieces[i]
	}
	if total == 0 {
		m.finish(r)
		return
	}
	m.next++
	id := fmt.Sprint(m.next)
	start := time.Unix(1000, 0).Add(r.arrived)
	r.job = job.New(id, id, id, stages, pieces, c.Rank, start.Add(c.Goal-r.first-hop), start.Add(c.Deadline-r.first))
	r.job.FirstEvent = r.first
	q := m.queues[r.queue]
	m.survey(q)
	v := q.CheckAdmission(r.job, m.clock())
	if !v.Admit && !m.way.Blind {
		m.refuse(r, v.RetryAfter)
		return
	}
	m.jobs[r.job] = r
	q.Add(r.job)
	m.dispatch(r.queue)
}

// refuse has a caller come back once.
func (m *model) refuse(r *request, after time.Duration) {
	r.tally.Refused++
	left := r.arrived + r.class.Deadline - m.now
	wait := min(time.Duration(float64(after)*(1+spread*m.rng.Float64())), left/mostShare)
	if r.tries > 1 {
		r.tally.TurnedAway++
		return
	}
	m.at(m.now+wait+2*hop, func() { m.offer(r) })
}

func (m *model) pieces(s Stage) int {
	if s.Share > 0 && m.rng.Float64() >= s.Share {
		return 0
	}
	mean := max(1, s.Pieces)
	n := 1
	for m.rng.Float64() < 1-1/mean && float64(n) < 4*mean {
		n++
	}
	return n
}

// dispatch gives work of an instance to the endpoints that it takes for free,
// those that were fast first, and to no more of a service than it should use.
func (m *model) dispatch(instance int) {
	q := m.queues[instance]
	m.survey(q)
	asked := make(map[string]int)
	var free []*worker
	for _, w := range m.workers {
		if w.asked[instance] {
			asked[w.service.Name]++
		} else if m.now >= w.rests[instance] {
			free = append(free, w)
		}
	}
	slices.SortStableFunc(free, func(a, b *worker) int { return cmp.Compare(a.slow[instance], b.slow[instance]) })
	for _, w := range free {
		name := w.service.Name
		if q.Waiting(name) == 0 || asked[name] >= q.MaxCalls(name) {
			continue
		}
		left := w.rooms[instance].Available(w.service.Batch.ResultBytes, m.clock())
		pieces := q.NextBatch(scheduler.Worker{Service: name, Centre: w.centre, FreeBytes: left, Slowdown: 1}, m.clock())
		if len(pieces) == 0 {
			continue
		}
		for _, p := range pieces {
			w.rooms[instance].Reserve(sizeOf(p))
		}
		asked[name]++
		w.asked[instance] = true
		m.at(m.now+hop, func() { m.reach(w, &call{instance: instance, pieces: pieces, sent: m.now - hop}) })
	}
}

func (m *model) finish(r *request) {
	took := m.now - r.arrived
	r.tally.sizes[r.index].served = took <= r.class.Deadline
	switch {
	case took <= r.class.Goal:
		r.tally.InTime++
	case took <= r.class.Deadline:
		r.tally.Late++
	default:
		r.tally.Expired++
		m.result.Waste += r.worked
	}
	r.tally.took = append(r.tally.took, took)
}

func sorted(d []time.Duration) []time.Duration {
	out := slices.Clone(d)
	slices.Sort(out)
	return out
}
