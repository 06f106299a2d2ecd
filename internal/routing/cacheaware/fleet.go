package cacheaware

// This file defines fleet, the engines of a service by their load, and which of them are candidates.

import (
	"container/heap"
	"slices"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/speed"
)

const (
	maxCompared   = 256      // engines of a fleet that are all compared for each request
	maxHolders    = 16       // candidates for each part of a prompt that have it cached
	maxSample     = 512      // engines that have a part cached among which these are searched
	maxIdle       = 24       // candidates since their load is low, in all data centres together
	minIdle       = 4        // the same in each data centre, and twice as many where inputs are
	inTurn        = 4        // candidates in the order of the list, whose load is computed again
	maxLatest     = 4        // lists of a service among which one that is used again is recognized
	usualGain     = 1.0 / 64 // weight of a request in the usual number of uncached tokens
	defaultTokens = 2000     // usual number of uncached tokens before there are requests
)

// fleet is a list of engines of one service that choices are made from again and again.
type fleet struct {
	list        []*registry.Endpoint
	members     []*member   // in the order of list
	centres     []*loadHeap // one for each data centre; nil if all engines are compared
	usualTokens float64     // moving average of the uncached tokens of a request
	next        int         // first member that is a candidate in turn
}

// member is an engine of a fleet.
type member struct {
	fleet    *fleet
	endpoint *registry.Endpoint
	engine   *engine
	load     float64   // cost of a usual request without cached parts
	heap     *loadHeap // nil if all engines are compared
	position int       // in heap
}

// candidate is an engine that may be compared for a request.
type candidate struct {
	member *member
	load   float64 // with the cost of inputs in other data centres
}

// fleetOf returns the fleet of a list of engines. It returns nil for a list that it is given for the first time,
// which may have been made for one request.
func (s *Selector) fleetOf(list []*registry.Endpoint, now instant) *fleet {
	if len(list) == 0 {
		return nil
	}
	service := list[0].Service
	if f := s.fleets[service]; f != nil && isSame(f.list, list) {
		return f
	}
	latest := s.latest[service]
	if !slices.ContainsFunc(latest, func(l []*registry.Endpoint) bool { return isSame(l, list) }) {
		if len(latest) == maxLatest {
			latest = latest[1:]
		}
		s.latest[service] = append(latest, list)
		return nil
	}
	f := s.newFleet(list, now)
	s.fleets[service] = f
	return f
}

// isSame reports whether two lists are the same one in memory.
func isSame(a, b []*registry.Endpoint) bool { return len(a) == len(b) && &a[0] == &b[0] }

func (s *Selector) newFleet(list []*registry.Endpoint, now instant) *fleet {
	f := &fleet{list: list, members: make([]*member, len(list)), usualTokens: defaultTokens}
	if before := s.fleets[list[0].Service]; before != nil {
		f.usualTokens = before.usualTokens
	}
	for i, e := range list {
		m := &member{fleet: f, endpoint: e, engine: s.engine(e)}
		m.engine.member, f.members[i] = m, m
		if len(list) > maxCompared {
			m.heap, m.load = f.centre(e.Centre), m.currentLoad(now)
			heap.Push(m.heap, m)
		}
	}
	return f
}

// centre returns the heap of a data centre, and creates it for a new one.
func (f *fleet) centre(name string) *loadHeap {
	for _, h := range f.centres {
		if h.centre == name {
			return h
		}
	}
	h := &loadHeap{centre: name}
	f.centres = append(f.centres, h)
	return h
}

// engine returns the engine at a position of the list; nil if there is no fleet.
func (f *fleet) engine(i int) *engine {
	if f == nil {
		return nil
	}
	return f.members[i].engine
}

// compareCandidates compares the engines that are likely to have the lowest cost.
func (s *Selector) compareCandidates(q *query, f *fleet) {
	s.compareHolders(q, f)
	most := max(minIdle, maxIdle/len(f.centres))
	for _, h := range f.centres {
		n := most
		if q.request.Inputs[h.centre] > 0 {
			n = 2 * most
		}
		for _, m := range h.least(n) {
			s.compareMember(q, m)
		}
	}
	for range inTurn {
		m := f.members[f.next]
		f.next = (f.next + 1) % len(f.members)
		s.refreshLoad(m.engine, q.now)
		s.compareMember(q, m)
	}
}

// compareHolders compares engines that have a part of the prompt cached. Where many have it, those of a sample whose
// load is the lowest are taken.
func (s *Selector) compareHolders(q *query, f *fleet) {
	for i := len(q.prompt) - 1; i >= 0; i-- {
		holders := s.holders[q.prompt[i].key]
		if len(holders) > maxHolders {
			s.compareSample(q, f, holders)
			continue
		}
		for _, part := range holders {
			if m := part.engine.member; m != nil && m.fleet == f {
				s.compareMember(q, m)
			}
		}
	}
}

// compareSample compares the engines with the lowest load, and inputs in their data centre, of some that have a part
// cached, others for each request.
func (s *Selector) compareSample(q *query, f *fleet, holders []*cachedPart) {
	var lowest [maxHolders]candidate
	n := 0
	first := int(s.choices * maxSample % uint64(len(holders)))
	for k := range min(maxSample, len(holders)) {
		m := holders[(first+k)%len(holders)].engine.member
		if m == nil || m.fleet != f {
			continue
		}
		load := m.load + q.remoteCost(m.endpoint.Centre)
		if n == maxHolders && load >= lowest[n-1].load {
			continue
		}
		n = min(n+1, maxHolders)
		at := n - 1
		for ; at > 0 && lowest[at-1].load > load; at-- {
			lowest[at] = lowest[at-1]
		}
		lowest[at] = candidate{m, load}
	}
	for _, c := range lowest[:n] {
		s.compareMember(q, c.member)
	}
}

// compareMember compares an engine, unless that was done for this request already or the engine failed it.
func (s *Selector) compareMember(q *query, m *member) {
	if m.engine.choice == s.choices || q.request.Tried[m.engine.name] {
		return
	}
	m.engine.choice = s.choices
	q.compare(m.engine, m.endpoint, m.engine.cachedTokens(q.prompt))
}

// refreshLoad computes the load of an engine again.
func (s *Selector) refreshLoad(eng *engine, now instant) {
	if m := eng.member; m != nil && m.heap != nil {
		m.load = m.currentLoad(now)
		heap.Fix(m.heap, m.position)
	}
}

func (m *member) currentLoad(now instant) float64 {
	eng := m.engine
	ratio := eng.currentRatio(now)
	wait := eng.speed.Predict(ratio, speed.Work{Pending: eng.pending, Running: eng.running, Slots: m.endpoint.Slots}).Wait
	return wait + ratio*(1+delayFactor*float64(eng.running))*m.fleet.usualTokens + stateCost(eng, m.endpoint, now)
}
