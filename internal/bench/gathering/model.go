package gathering

// This file plays a load against queues and endpoints.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/queue"
)

const (
	hop        = 2 * time.Millisecond   // between any two processes, there
	mostRead   = 4                      // times the mean that an engine reads a prompt at most
	firstEvent = 160 * time.Millisecond // of an engine, once the inputs are there
	refused    = 60 * time.Millisecond  // that an instance waits which found an endpoint full
	spread     = 0.5                    // of the times after which refused callers return
	mostShare  = 3                      // part of the time left that a refused caller waits at most
	roomShare  = 0.9                    // of an endpoint's room
)

// Way is a way to gather stage work.
type Way struct {
	Name      string
	Instances int  // that gather, each for its share of the requests
	Blind     bool // every job is taken
}

// Ways are what the experiment compares.
func Ways() []Way {
	return []Way{
		{Name: "one gathers", Instances: 1},
		{Name: "one gathers, all are taken", Instances: 1, Blind: true},
		{Name: "each for itself", Instances: 6},
	}
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
	queues  []*queue.Queue
	workers []*worker
	result  *Result
	jobs    map[*job.Job]*request
	next    int
}

type worker struct {
	service *Service
	name    string
	centre  string
	held    int64
	calls   []*call // under way and waiting, the first is worked on
	asked   map[int]bool
	rests   map[int]time.Duration // by instance
}

type call struct {
	instance int
	pieces   []queue.Piece
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
	for range w.Instances {
		m.queues = append(m.queues, queue.New())
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

func (m *model) addWorkers(s *Service) {
	centres := make(map[string]float64)
	for centre, n := range s.Workers {
		name := fmt.Sprint("c", centre)
		centres[name] = float64(n)
		for i := range n {
			m.workers = append(m.workers, &worker{
				service: s, centre: name, name: fmt.Sprint(s.Name, centre, i), rests: make(map[int]time.Duration), asked: make(map[int]bool),
			})
		}
	}
	for _, q := range m.queues {
		q.Service(s.Name, s.Batch, centres)
	}
}

func (m *model) at(t time.Duration, do func()) { heap.Push(&m.events, event{at: t, do: do}) }

// clock turns the virtual time into the one that the queue takes.
func (m *model) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) arrive(c *Class) {
	r := &request{class: c, tally: m.result.Classes[c.Name], arrived: m.now, queue: m.rng.IntN(len(m.queues))}
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
	r.job.After = r.first
	q := m.queues[r.queue]
	v := q.Judge(r.job, m.clock())
	if !v.Take && !m.way.Blind {
		m.refuse(r, v.After)
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

// dispatch gives work of an instance to the endpoints that it takes for free.
func (m *model) dispatch(instance int) {
	q := m.queues[instance]
	for _, w := range m.workers {
		if w.asked[instance] || m.now < w.rests[instance] || q.Waiting(w.service.Name) == 0 {
			continue
		}
		room := int64(roomShare*float64(w.service.Batch.Room)) - w.held
		pieces := q.Fill(queue.Worker{Service: w.service.Name, Centre: w.centre, Room: room, Slow: 1}, m.clock())
		if len(pieces) == 0 {
			continue
		}
		w.asked[instance] = true
		m.at(m.now+hop, func() { m.reach(w, &call{instance: instance, pieces: pieces}) })
	}
}

// reach hands a call to an endpoint, which refuses it when it is full.
func (m *model) reach(w *worker, c *call) {
	if len(w.calls) > w.service.Batch.Queue {
		m.result.Refusals++
		m.at(m.now+hop, func() {
			w.asked[c.instance] = false
			w.rests[c.instance] = m.now + refused
			m.again(c)
			m.at(m.now+refused, func() { m.dispatch(c.instance) })
		})
		return
	}
	w.calls = append(w.calls, c)
	if len(w.calls) == 1 {
		m.work(w)
	}
}

func (m *model) again(c *call) {
	for _, p := range c.pieces {
		m.queues[c.instance].Again(p)
	}
}

func (m *model) work(w *worker) {
	c := w.calls[0]
	took := w.service.Batch.Call
	for _, p := range c.pieces {
		took += m.pieceTime(w, p)
		w.held += p.Job.Stages[p.Stage].Bytes
	}
	m.result.Calls++
	m.result.Pieces += len(c.pieces)
	m.result.Busy += took
	if len(c.pieces) == w.service.Batch.Most {
		m.result.Full++
	}
	share := took / time.Duration(len(c.pieces))
	for _, p := range c.pieces {
		if r := m.jobs[p.Job]; r != nil {
			r.worked += share
		}
	}
	m.at(m.now+took, func() { m.end(w, c) })
}

func (m *model) pieceTime(w *worker, p queue.Piece) time.Duration {
	work := 1.0
	if r := m.jobs[p.Job]; r != nil && r.class.Stages[p.Stage].Work > 0 {
		work = r.class.Stages[p.Stage].Work
	}
	return time.Duration(work * float64(w.service.Batch.Item))
}

func (m *model) end(w *worker, c *call) {
	w.calls = w.calls[1:]
	if len(w.calls) > 0 {
		m.work(w)
	}
	m.at(m.now+hop, func() {
		w.asked[c.instance] = false
		for _, p := range c.pieces {
			m.made(w, c.instance, p)
		}
		m.dispatch(c.instance)
	})
}

func (m *model) made(w *worker, instance int, p queue.Piece) {
	size := p.Job.Stages[p.Stage].Bytes
	_, finished := m.queues[instance].Made(p, job.Result{Handle: w.name, Maker: w.name, Centre: w.centre, Bytes: size})
	// The result is freed once the next stage, or the engine, has read it.
	m.at(m.now+w.service.Batch.Call, func() { w.held -= size })
	if r := m.jobs[p.Job]; finished && r != nil {
		delete(m.jobs, p.Job)
		for i := range p.Job.Stages {
			all, far := p.Job.Taken(i)
			m.result.Taken += all
			m.result.Far += far
		}
		m.at(m.now+r.first, func() { m.finish(r) })
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
