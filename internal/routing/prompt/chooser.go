// Package prompt chooses the engine of a request by what of its prompt the
// engines still have to read.
//
// It answers load whose prompts are long and mostly shared: reading a part
// again costs far more than a place in a batch, and a long prompt delays the
// tokens of all requests beside it. What engines keep is inferred from what
// they were sent. A Chooser has no clock and does no input or output.
package prompt

// This file defines Chooser and its decision.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// Weights of a choice, all in tokens to read.
const (
	runningCost  = 60                    // of each request that runs beside it: about 1 ms of reading
	rereadShare  = 0.5                   // of each token read again, for the work it costs others
	farPerByte   = 0.36e-3               // of each byte of results that crosses data centres; its price against that of a token read again
	suspectCost  = 20000                 // of an engine that failed a request lately
	lapsedCost   = 4000                  // of an engine whose registration lapsed
	tokensPerMS  = 60.0                  // that an engine reads, to compare first events with what was expected
	baseFirst    = 80 * time.Millisecond // of a first event beside what is read
	mostParts    = 4096                  // remembered for each engine
	slowGain     = 0.2                   // weight of a first event in the moving mean of the slowness
	slowFrom     = 1.6                   // times the expected time from which an engine counts as slow
	suspectFor   = 1500 * time.Millisecond
	forgottenFor = 30 * time.Second // after which a request without news is taken for ended
)

// Request is what has to be read, and where its inputs lie.
type Request struct {
	ID     string
	Prompt []request.PromptPart
	Inputs map[string]int64 // bytes of results by data centre
	Tried  map[string]bool  // names of engines that failed it
}

// Choice is an engine and why it was chosen.
type Choice struct {
	Engine  *registry.Endpoint // nil where there is none
	Cost    float64
	Unread  int // tokens of the prompt that it has to read
	Total   int // tokens of the prompt
	Pending int // tokens of other requests that it reads first
	Running int
	First   time.Duration // expected until the first event
}

// Chooser is safe for concurrent use.
type Chooser struct {
	mu      sync.Mutex
	engines map[string]*engine
	flights map[string]*flight
}

type engine struct {
	parts   *simplelru.LRU[uint64, int]
	tokens  int // of parts
	room    int // tokens that it can keep
	pending int
	running int
	slow    float64
	suspect time.Time
}

type flight struct {
	engine  *engine
	unread  int
	started bool
	placed  time.Time
	expect  time.Duration
}

// New returns a chooser that knows nothing of the engines.
func New() *Chooser {
	return &Chooser{engines: make(map[string]*engine), flights: make(map[string]*flight)}
}

// Place chooses among engines that keep so many tokens each, and counts the
// request there until Ended.
func (c *Chooser) Place(r Request, engines []*registry.Endpoint, room int, now time.Time) Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain := chainOf(r.Prompt)
	best := c.best(r, chain, engines, room, now)
	if best.Engine != nil {
		c.start(r.ID, c.engines[best.Engine.Name()], best, chain, now)
	}
	return best
}

// Look returns what Place would choose now.
func (c *Chooser) Look(r Request, engines []*registry.Endpoint, room int, now time.Time) Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.best(r, chainOf(r.Prompt), engines, room, now)
}

func (c *Chooser) best(r Request, chain []link, engines []*registry.Endpoint, room int, now time.Time) Choice {
	best := Choice{}
	for _, e := range engines {
		name := e.Name()
		if r.Tried[name] && len(engines) > len(r.Tried) {
			continue
		}
		k := c.engine(name, room)
		v := k.weigh(r, chain, e, now)
		if best.Engine == nil || v.Cost < best.Cost {
			best = v
		}
	}
	return best
}

// link is a part of a prompt with all parts before it.
type link struct {
	key    uint64
	tokens int
}

func chainOf(parts []request.PromptPart) []link {
	h := xxhash.New()
	chain := make([]link, len(parts))
	for i, p := range parts {
		if _, err := h.WriteString(p.ID + ","); err != nil {
			panic("prompt: hashing in memory: " + err.Error())
		}
		chain[i] = link{key: h.Sum64(), tokens: p.Tokens}
	}
	return chain
}

func (c *Chooser) engine(name string, room int) *engine {
	k := c.engines[name]
	if k == nil {
		k = &engine{slow: 1}
		parts, err := simplelru.NewLRU(mostParts, func(_ uint64, tokens int) { k.tokens -= tokens })
		if err != nil {
			panic("prompt: making a cache: " + err.Error())
		}
		k.parts = parts
		c.engines[name] = k
	}
	k.room = room
	return k
}

// weigh returns the cost of running a request on an engine.
func (k *engine) weigh(r Request, chain []link, e *registry.Endpoint, now time.Time) Choice {
	v := Choice{Engine: e, Pending: k.pending, Running: k.running}
	held := true
	for _, l := range chain {
		v.Total += l.tokens
		held = held && k.parts.Contains(l.key)
		if !held {
			v.Unread += l.tokens
		}
	}
	v.First = expected(k.pending + v.Unread)
	speed := k.slow
	if speed < slowFrom {
		speed = 1
	}
	v.Cost = speed*float64(k.pending+v.Unread+runningCost*k.running) + rereadShare*float64(v.Unread)
	for centre, bytes := range r.Inputs {
		if centre != e.Centre {
			v.Cost += farPerByte * float64(bytes)
		}
	}
	if now.Before(k.suspect) {
		v.Cost += suspectCost
	}
	if e.State == registry.Lapsed {
		v.Cost += lapsedCost
	}
	return v
}

// expected is the time to a first event for which so many tokens are read.
func expected(tokens int) time.Duration {
	return baseFirst + time.Duration(float64(tokens)/tokensPerMS*float64(time.Millisecond))
}

func (c *Chooser) start(id string, k *engine, v Choice, chain []link, now time.Time) {
	c.end(id)
	c.flights[id] = &flight{engine: k, unread: v.Unread, placed: now, expect: v.First}
	k.pending += v.Unread
	k.running++
	for _, l := range chain {
		if !k.parts.Contains(l.key) {
			k.tokens += l.tokens
		}
		k.parts.Add(l.key, l.tokens)
	}
	for k.tokens > k.room && k.parts.Len() > 0 {
		k.parts.RemoveOldest()
	}
}

// Started tells that a request's engine has given its first event.
func (c *Chooser) Started(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flights[id]
	if f == nil || f.started {
		return
	}
	f.started = true
	f.engine.pending -= f.unread
	seen := max(1, float64(now.Sub(f.placed))/float64(f.expect))
	f.engine.slow += slowGain * (seen - f.engine.slow)
}

// Ended tells that a request has left its engine.
func (c *Chooser) Ended(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(id)
}

func (c *Chooser) end(id string) {
	f := c.flights[id]
	if f == nil {
		return
	}
	delete(c.flights, id)
	f.engine.running--
	if !f.started {
		f.engine.pending -= f.unread
	}
}

// Failed tells that an engine failed a request.
func (c *Chooser) Failed(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.engines[name]; k != nil {
		k.suspect = now.Add(suspectFor)
	}
}

// Sweep forgets the engines that are gone and the requests without news.
func (c *Chooser) Sweep(known func(name string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.engines {
		if !known(name) {
			delete(c.engines, name)
		}
	}
	for id, f := range c.flights {
		if now.Sub(f.placed) > forgottenFor {
			c.end(id)
		}
	}
}
