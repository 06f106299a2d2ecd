// Package cacheaware provides cache-aware load balancing over engines: it chooses
// the engine for a request mainly by how many tokens of the prompt and of waiting
// requests the engine has to read, that is to prefill, because they are not in
// its prefix cache.
//
// It is meant for long prompts that mostly share their first parts: reading a part
// again costs far more than one more request in a batch, and reading a long
// prompt delays the tokens of all other requests on the engine. The contents of
// the caches are inferred from the requests that the engines were given.
//
// All engines of a small fleet are compared. In a large one only candidates are:
// engines that have a part of the prompt cached, the least loaded of each data
// centre, and a few in turn. The package does no I/O; callers pass the time.
package cacheaware

// This file defines Selector, Request, Choice and Accuracy.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/routing/speed"
)

// Weights of the cost of an engine, in tokens to read on a usual engine.
const (
	uncachedFactor  = 1.5                     // additional cost of each uncached token of the prompt: the cache of one more engine holds it then, in place of other parts
	delayFactor     = 0.5                     // cost of each uncached token for each other request on the engine, whose tokens it delays
	earlyWait       = 0.5                     // least weight of what waits before a request that has time left
	remoteByteCost  = 0.8e-3                  // cost of each byte of stage results that crosses data centres
	failedCost      = 20000                   // additional cost of an engine that failed a request within the last failedFor
	lapsedCost      = 4000                    // additional cost of an engine whose registration has lapsed
	maxParts        = 4096                    // greatest number of cached prompt parts that are tracked for each engine
	failedFor       = 1500 * time.Millisecond // time after a failure during which failedCost applies
	ratioLifetime   = 20 * time.Millisecond   // time for which an engine's ratio is not computed again
	assignmentLimit = 30 * time.Second        // a request that was assigned longer ago is taken to have ended
)

// Request describes a request that needs an engine.
type Request struct {
	ID     string
	Prompt []request.PromptPart
	Inputs map[string]int64 // bytes of stage results that the engine needs, by the data centre that holds them
	Tried  map[string]bool  // names of engines that already failed the request
	Goal   time.Time        // when the engine should give the first event; zero for as soon as possible
}

// Choice is the chosen engine with the figures that the choice rests on.
type Choice struct {
	Engine         *registry.Endpoint // nil if there is none
	Cost           float64            // the lowest of all engines, in tokens to read on a usual engine
	UncachedTokens int                // tokens of the prompt that are not in the engine's cache
	PromptTokens   int                // tokens of the prompt
	PendingTokens  int                // uncached tokens of the engine's requests that have had no first event
	Running        int                // requests on the engine, those without a first event included
	Ratio          float64            // of the engine's time for work to that of a usual engine
	FirstEvent     time.Duration      // expected time to the first event
	Margin         time.Duration      // time after that within which most first events come

	work speed.Work // that FirstEvent is predicted from
}

// Accuracy is how exact predictions of the first event were.
type Accuracy struct {
	Predictions int           // that the other figures are of
	Median, P95 time.Duration // absolute errors
}

// Selector chooses engines and tracks the requests that it assigned to them. It is
// safe for concurrent use.
type Selector struct {
	mu          sync.Mutex
	engines     map[string]*engine
	holders     map[uint64][]*cachedPart          // by prefix hash
	fleets      map[string]*fleet                 // by service
	latest      map[string][][]*registry.Endpoint // lists that choices were made from last, other than that of the fleet, by service
	speeds      map[string]*speed.Estimator       // by service
	assignments map[string]*assignment            // by request id
	epoch       time.Time                         // first time that was passed in
	choices     uint64                            // number of choices so far
}

// assignment is a request that was assigned to an engine and has not ended.
type assignment struct {
	engine   *engine
	work     speed.Work // until the first event
	started  bool       // the first event has come
	assigned time.Time
}

// New returns a selector that takes the caches of all engines to be empty.
func New() *Selector {
	return &Selector{
		engines: make(map[string]*engine), holders: make(map[uint64][]*cachedPart), fleets: make(map[string]*fleet), latest: make(map[string][][]*registry.Endpoint),
		speeds: make(map[string]*speed.Estimator), assignments: make(map[string]*assignment),
	}
}

// Assign chooses one of the engines, whose caches hold capacity tokens each, and
// counts the request there until RecordEnd. Engines that already failed the request
// are left out as long as there are more engines than failed ones. A request that
// was assigned before is counted at the new engine only. The caller must not change the
// list afterwards: an index of it is kept for the next requests.
func (s *Selector) Assign(r Request, engines []*registry.Endpoint, capacity int, now time.Time) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	prompt := prefixParts(r.Prompt)
	best := s.best(r, prompt, engines, s.instantOf(now))
	if best.Engine != nil {
		eng := s.engines[best.Engine.Name()]
		eng.capacity = capacity
		s.start(r.ID, eng, best, prompt, now)
	}
	return best
}

// Preview returns what Assign would choose now, without assigning the request.
func (s *Selector) Preview(r Request, engines []*registry.Endpoint, now time.Time) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.best(r, prefixParts(r.Prompt), engines, s.instantOf(now))
}

// best returns the choice with the lowest cost; its Engine is nil without engines.
func (s *Selector) best(r Request, prompt []prefixPart, engines []*registry.Endpoint, now instant) Choice {
	s.choices++
	q := newQuery(r, prompt, now)
	f := s.fleetOf(engines, now)
	if f != nil && len(f.centres) > 0 {
		s.compareCandidates(q, f)
	}
	if q.best.engine == nil {
		s.compareAll(q, engines, f)
	}
	return q.choice()
}

// prefixPart is a part of a prompt. Its key covers all parts before it too, since
// a cached part is of use only after the same prefix.
type prefixPart struct {
	key    uint64
	tokens int // of this part
}

// prefixParts returns the parts of a prompt with the hashes of their prefixes.
func prefixParts(parts []request.PromptPart) []prefixPart {
	h := xxhash.New()
	prompt := make([]prefixPart, len(parts))
	for i, p := range parts {
		if _, err := h.WriteString(p.ID + ","); err != nil {
			panic("cacheaware: hashing a prompt part: " + err.Error())
		}
		prompt[i] = prefixPart{key: h.Sum64(), tokens: p.Tokens}
	}
	return prompt
}

// speedOf returns the estimator of a service, and creates it for a new service.
func (s *Selector) speedOf(service string) *speed.Estimator {
	est := s.speeds[service]
	if est == nil {
		est = speed.New()
		s.speeds[service] = est
	}
	return est
}

// start counts a request at an engine and takes its prompt to be cached there.
func (s *Selector) start(id string, eng *engine, choice Choice, prompt []prefixPart, now time.Time) {
	s.end(id, now)
	s.assignments[id] = &assignment{engine: eng, work: choice.work, assigned: now}
	eng.pending += choice.UncachedTokens
	eng.running++
	s.hold(eng, prompt)
	if m := eng.member; m != nil {
		m.fleet.usualTokens += usualGain * (float64(choice.UncachedTokens) - m.fleet.usualTokens)
	}
	s.refreshLoad(eng, s.instantOf(now))
}

// RecordFirstEvent records that the first event of a request has come, so its
// prompt has been read. It ignores requests that are not assigned.
func (s *Selector) RecordFirstEvent(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[id]
	if a == nil || a.started {
		return
	}
	a.started = true
	a.engine.pending -= a.work.Tokens
	a.engine.speed.Record(a.engine.name, a.work, now.Sub(a.assigned), now)
	a.engine.ratio = 0
	s.refreshLoad(a.engine, s.instantOf(now))
}

// RecordEnd records that a request has left its engine. It ignores requests that
// are not assigned.
func (s *Selector) RecordEnd(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.assignments[id]; a != nil && a.started {
		a.engine.speed.RecordHeld(now.Sub(a.assigned))
	}
	s.end(id, now)
}

// end removes an assignment, if there is one.
func (s *Selector) end(id string, now time.Time) {
	a := s.assignments[id]
	if a == nil {
		return
	}
	delete(s.assignments, id)
	a.engine.running--
	if !a.started {
		a.engine.pending -= a.work.Tokens
	}
	s.refreshLoad(a.engine, s.instantOf(now))
}

// RecordFailure records that an engine failed a request. It raises the
// engine's cost by failedCost for the next failedFor, so that other engines are preferred.
func (s *Selector) RecordFailure(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if eng := s.engines[name]; eng != nil {
		eng.failedUntil = s.instantOf(now).since + failedFor
		s.refreshLoad(eng, s.instantOf(now))
	}
}

// Accuracy returns how exact the newest predictions of the first event were, by
// service. It leaves out services without new ones.
func (s *Selector) Accuracy() map[string]Accuracy {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Accuracy)
	for service, est := range s.speeds {
		if n, median, p95 := est.Accuracy(); n > 0 {
			all[service] = Accuracy{Predictions: n, Median: median, P95: p95}
		}
	}
	return all
}

// Sweep removes the engines that are no longer known, forgets the speed of those that are not in use, which may
// be others when they come back, or had no request for long, and ends the requests that
// were assigned more than assignmentLimit ago and whose end was not recorded.
func (s *Selector) Sweep(known, inUse func(name string) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, eng := range s.engines {
		if !known(name) {
			eng.parts.Purge()
			delete(s.engines, name)
			delete(s.fleets, eng.service) // it may list the engine
		}
	}
	for _, est := range s.speeds {
		est.Retain(inUse, now)
	}
	for id, a := range s.assignments {
		if now.Sub(a.assigned) > assignmentLimit {
			s.end(id, now)
		}
	}
}
