// Package slowstart decides which instances send requests to a plain endpoint that has just started or come back.
//
// It answers returns in a large fleet: each instance chooses by itself, and to all of them such an endpoint
// looks idle. One that is silent costs every instance a request, and one that works gets a burst
// before any load report of it has come. A few instances call it first, by a draw of their own; their share doubles until one of them
// tells that the endpoint answered, or until all call it. After a failure the share starts again. No
// list of instances is needed, and one that is out of touch goes by time alone.
//
// Callers pass the time in; the package does no I/O.
package slowstart

// This file defines Tracker.

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

const (
	// initialShare is the part of the instances that call an endpoint at first.
	initialShare = 1.0 / 64
	// doublingTime is the time in which the share doubles; a second return within flapWindow doubles that time, and
	// so does each further one, up to maxReturns.
	doublingTime = 250 * time.Millisecond
	flapWindow   = time.Minute
	maxReturns   = 4
	// maxTime ends a slow start whatever happened, so that no endpoint is left idle for ever.
	maxTime   = 15 * time.Second
	tellTime  = 3 * time.Second // for which outcomes are told
	maxTold   = 64              // outcomes that one message holds
	maxEvents = 256             // changes that are kept until Changes takes them
)

// Tracker holds the endpoints that start slowly. It is safe for concurrent use.
type Tracker struct {
	seed   uint64       // of the draws, which differ between instances
	active atomic.Int64 // endpoints in starts

	mu       sync.Mutex
	services map[string]bool
	observed bool                // Observe was called with endpoints
	present  map[string]bool     // by Endpoint.Name, whether it accepts work
	starts   map[string]*start   // by Endpoint.Name
	returns  map[string]*returns // by Endpoint.ID, as a flapping endpoint may have another process each time
	told     map[string]Outcome  // newest ones, by endpoint
	changes  []Change
}

// start is the slow start of one endpoint.
type start struct {
	id      string
	reason  Reason
	began   time.Time // of the whole
	since   time.Time // of the share, which starts again after a failure
	returns int
	draw    float64   // of this instance, from 0 to 1
	sent    time.Time // of this instance's oldest call without an outcome; zero if there is none
}

// returns counts the last returns of an endpoint.
type returns struct {
	last   time.Time
	number int
}

// Outcome is what a call of an instance showed of an endpoint.
type Outcome struct {
	Endpoint string // name of its process
	Answered bool
	At       time.Time
}

// New returns a tracker of no service. Instances need different seeds.
func New(seed uint64) *Tracker {
	return &Tracker{
		seed: seed, services: make(map[string]bool), present: make(map[string]bool), starts: make(map[string]*start),
		returns: make(map[string]*returns), told: make(map[string]Outcome),
	}
}

// SetServices sets the services whose endpoints start slowly: of those that asked says, the ones whose endpoints each instance
// chooses by itself.
func (t *Tracker) SetServices(services map[string]*catalog.Service, asked func(*catalog.Service) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.services)
	for name, s := range services {
		if s.Engine == nil && s.Batch == nil && asked(s) {
			t.services[name] = true
		}
	}
}

// Observe records the endpoints that are registered now. Those that start or accept work again start
// slowly, but for the ones that this instance finds when it starts itself.
func (t *Tracker) Observe(all []*registry.Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.services) == 0 && len(t.present) == 0 {
		return
	}
	before := t.present
	t.present = make(map[string]bool, len(before))
	for _, e := range all {
		if !t.services[e.Service] {
			continue
		}
		name := e.Name()
		t.present[name] = e.AcceptsWork()
		accepted, known := before[name]
		if t.observed && e.AcceptsWork() && !accepted {
			reason := Started
			if known {
				reason = Returned
			}
			t.begin(name, e.ID, reason, now)
		}
	}
	t.observed = t.observed || len(t.present) > 0
	for name := range t.starts {
		if !t.present[name] {
			delete(t.starts, name)
		}
	}
	t.active.Store(int64(len(t.starts)))
}

// begin begins a slow start. The caller holds the lock.
func (t *Tracker) begin(name, id string, reason Reason, now time.Time) {
	for old, r := range t.returns {
		if now.Sub(r.last) > flapWindow {
			delete(t.returns, old)
		}
	}
	r := t.returns[id]
	if r == nil {
		r = new(returns)
		t.returns[id] = r
	}
	r.last, r.number = now, min(maxReturns, r.number+1)
	t.starts[name] = &start{id: id, reason: reason, began: now, since: now, returns: r.number, draw: t.draw(name, now)}
	t.report(Change{Endpoint: name, Reason: reason, Returns: r.number})
}

// draw returns a number from 0 to 1 that differs between instances, endpoints and starts.
func (t *Tracker) draw(name string, now time.Time) float64 {
	h := xxhash.NewWithSeed(t.seed ^ uint64(now.UnixNano()))
	if _, err := h.WriteString(name); err != nil {
		panic("slowstart: hashing a name: " + err.Error())
	}
	return float64(h.Sum64()>>11) / (1 << 53)
}

// share returns the part of the instances that call the endpoint now.
func (s *start) share(now time.Time) float64 {
	doubling := doublingTime << (s.returns - 1)
	return initialShare * math.Exp2(float64(now.Sub(s.since))/float64(doubling))
}

// ended reports whether all instances call the endpoint.
func (s *start) ended(now time.Time) bool { return s.share(now) >= 1 || now.Sub(s.began) >= maxTime }

// Active returns the number of endpoints that start slowly.
func (t *Tracker) Active() int { return int(t.active.Load()) }

// Holds reports whether this instance leaves the endpoint to others for now.
func (t *Tracker) Holds(name string, now time.Time) bool {
	if t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.starts[name]
	return s != nil && !s.ended(now) && s.draw >= s.share(now)
}

// Sent records that this instance calls an endpoint.
func (t *Tracker) Sent(name string, now time.Time) {
	if t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.starts[name]; s != nil && s.sent.IsZero() {
		s.sent = now
	}
}

// Record records the end of a call of this instance.
func (t *Tracker) Record(name string, kind failure.Kind, took time.Duration, now time.Time) {
	if t.active.Load() == 0 || kind == failure.Late && took < doublingTime {
		return // the caller ended it before the endpoint could answer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.starts[name]
	if s == nil {
		return
	}
	s.sent = time.Time{}
	t.apply(Outcome{Endpoint: name, Answered: kind == 0, At: now}, now)
}

// Learn records outcomes that another instance told. They are told to others again, as not all instances poll
// each other.
func (t *Tracker) Learn(outcomes []Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range outcomes[:min(maxTold, len(outcomes))] {
		if t.present[o.Endpoint] {
			t.apply(o, now)
		}
	}
}

// apply changes the start of an endpoint by an outcome that is newer than what it rests on. The caller holds
// the lock.
func (t *Tracker) apply(o Outcome, now time.Time) {
	if o.At.After(t.told[o.Endpoint].At) {
		t.told[o.Endpoint] = o
	}
	s := t.starts[o.Endpoint]
	switch {
	case s == nil || !o.At.After(s.since):
	case o.Answered:
		t.end(o.Endpoint, s, Answered)
	case now.Sub(s.began) < maxTime:
		s.since, s.draw = o.At, t.draw(o.Endpoint, o.At)
		if s.reason != Failed {
			s.reason = Failed
			t.report(Change{Endpoint: o.Endpoint, Reason: Failed, Returns: s.returns})
		}
	}
}

// end ends a start. The caller holds the lock.
func (t *Tracker) end(name string, s *start, reason Reason) {
	delete(t.starts, name)
	t.active.Store(int64(len(t.starts)))
	t.report(Change{Endpoint: name, Ended: true, Reason: reason, Returns: s.returns})
}

// report keeps a change until Changes is called. The caller holds the lock.
func (t *Tracker) report(c Change) {
	if len(t.changes) < maxEvents {
		t.changes = append(t.changes, c)
	}
}

// Recent returns the newest outcomes, which others are to be told.
func (t *Tracker) Recent(now time.Time) []Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Outcome
	for name, o := range t.told {
		if now.Sub(o.At) > tellTime {
			delete(t.told, name)
		} else if len(list) < maxTold {
			list = append(list, o)
		}
	}
	return list
}

// Changes ends the slow starts that are over, and returns what changed since the last call. A call without an answer for
// doublingTime counts as failed until the answer comes: the share doesn't grow meanwhile.
func (t *Tracker) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.starts {
		switch {
		case s.ended(now):
			t.end(name, s, TimePassed)
		case !s.sent.IsZero() && now.Sub(s.sent) >= doublingTime:
			s.sent = time.Time{}
			t.apply(Outcome{Endpoint: name, At: now}, now)
		}
	}
	changes := slices.Clone(t.changes)
	t.changes = t.changes[:0]
	return changes
}
