package cacheaware

// This file defines query, which compares engines for one request.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/speed"
)

// instant is a time. The time since the first one that a Selector was given is quick to compare.
type instant struct {
	time.Time
	since time.Duration
}

// instantOf returns the instant of a time that was passed in.
func (s *Selector) instantOf(now time.Time) instant {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	return instant{now, now.Sub(s.epoch)}
}

// query is a request that needs an engine, with the best one of those that were compared.
type query struct {
	request Request
	prompt  []prefixPart
	tokens  int // of the prompt
	inputs  []input
	now     instant
	left    time.Duration // until the goal of the request
	best    option
}

// input is a size of stage results that a request reads from a data centre.
type input struct {
	centre string
	cost   float64 // of reading them from another one
}

// option is an engine that a request may go to.
type option struct {
	engine     *engine // nil if there is none
	endpoint   *registry.Endpoint
	cost       float64
	ratio      float64
	work       speed.Work
	firstEvent time.Duration
}

func newQuery(r Request, prompt []prefixPart, now instant) *query {
	q := &query{request: r, prompt: prompt, now: now, left: r.Goal.Sub(now.Time)}
	for _, p := range prompt {
		q.tokens += p.tokens
	}
	for centre, bytes := range r.Inputs {
		q.inputs = append(q.inputs, input{centre, remoteByteCost * float64(bytes)})
	}
	return q
}

// compare makes an engine the best one if its cost is lower. The first tokens of the prompt are cached there.
func (q *query) compare(eng *engine, e *registry.Endpoint, cached int) {
	o := option{engine: eng, endpoint: e, ratio: eng.currentRatio(q.now)}
	o.work = speed.Work{Tokens: q.tokens - cached, Pending: eng.pending, Running: eng.running, Slots: e.Slots}
	predicted := eng.speed.Predict(o.ratio, o.work)
	o.firstEvent = predicted.FirstEvent
	o.cost = q.cost(&o, predicted.Wait)
	if q.best.engine == nil || o.cost < q.best.cost {
		q.best = o
	}
}

// cost returns the cost of an engine; wait is what has to be done before the request. What waits before the
// request weighs the less, the smaller the part of its time is that it needs for its first event: an engine that
// has the prompt cached is worth a short wait.
func (q *query) cost(o *option, wait float64) float64 {
	if left := q.left - o.engine.speed.Margin(); left > o.firstEvent {
		wait *= max(earlyWait, float64(o.firstEvent)/float64(left))
	}
	delay := o.ratio * (1 + delayFactor*float64(o.work.Running))
	cost := wait + (delay+uncachedFactor)*float64(o.work.Tokens)
	return cost + q.remoteCost(o.endpoint.Centre) + stateCost(o.engine, o.endpoint, q.now)
}

// remoteCost returns the cost of the inputs that are not in a data centre.
func (q *query) remoteCost(centre string) float64 {
	cost := 0.0
	for _, in := range q.inputs {
		if in.centre != centre {
			cost += in.cost
		}
	}
	return cost
}

// stateCost returns the additional cost of an engine that may not answer.
func stateCost(eng *engine, e *registry.Endpoint, now instant) float64 {
	cost := 0.0
	if now.since < eng.failedUntil {
		cost += failedCost
	}
	if e.State == registry.Lapsed {
		cost += lapsedCost
	}
	return cost
}

// choice returns the best engine with the figures that the choice rests on.
func (q *query) choice() Choice {
	o := &q.best
	if o.engine == nil {
		return Choice{}
	}
	return Choice{
		Engine: o.endpoint, Cost: o.cost, UncachedTokens: o.work.Tokens, PromptTokens: q.tokens,
		PendingTokens: o.work.Pending, Running: o.work.Running, Ratio: o.ratio,
		FirstEvent: o.firstEvent, Margin: o.engine.speed.Margin(), work: o.work,
	}
}

// compareAll compares all engines of a list, whose fleet is nil if it was not built. Engines that failed the request
// are left out as long as there are others.
func (s *Selector) compareAll(q *query, list []*registry.Endpoint, f *fleet) {
	s.markCached(q.prompt)
	tried := q.request.Tried
	for _, skipTried := range []bool{len(tried) > 0, false} {
		for i, e := range list {
			if skipTried && tried[e.Name()] {
				continue
			}
			eng := f.engine(i)
			if eng == nil {
				eng = s.engine(e)
			}
			cached := 0
			if eng.choice == s.choices {
				cached = eng.cached
			}
			q.compare(eng, e, cached)
		}
		if q.best.engine != nil {
			return
		}
	}
}

// markCached counts at each engine the tokens of the first parts of a prompt that it has cached.
func (s *Selector) markCached(prompt []prefixPart) {
	for depth, p := range prompt {
		found := false
		for _, part := range s.holders[p.key] {
			eng := part.engine
			if depth == 0 {
				eng.choice, eng.depth, eng.cached = s.choices, 0, 0
			}
			if eng.choice == s.choices && eng.depth == depth {
				eng.depth, eng.cached = depth+1, eng.cached+p.tokens
				found = true
			}
		}
		if !found {
			return
		}
	}
}
