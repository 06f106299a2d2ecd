package cacheaware

// This file defines engine, and the index of the parts that engines have cached.

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/speed"
)

// engine is what is known of an engine.
type engine struct {
	name, service string
	parts         *simplelru.LRU[uint64, *cachedPart] // prompt parts taken to be cached, by prefix hash
	tokens        int                                 // sum over parts
	capacity      int                                 // tokens that the cache can hold
	pending       int                                 // uncached tokens of the assigned requests that have had no first event
	running       int                                 // assigned requests that have not ended, those without a first event included
	failedUntil   time.Duration                       // as instant.since
	speed         *speed.Estimator                    // of the engine's service
	ratio         float64                             // as of ratioAt; zero if it has to be computed again
	ratioAt       time.Duration                       // as instant.since
	member        *member                             // of the newest fleet of the engine's service

	// State of one choice.
	choice uint64 // Selector.choices of the one that the fields below are of
	depth  int    // first parts of the prompt that are cached
	cached int    // their tokens
}

// cachedPart is a part of a prompt in the cache of one engine.
type cachedPart struct {
	engine   *engine
	tokens   int
	position int // among the holders of the part
}

// engine returns what is known of an engine, and creates it for a new engine.
func (s *Selector) engine(e *registry.Endpoint) *engine {
	name := e.Name()
	if eng := s.engines[name]; eng != nil {
		return eng
	}
	eng := &engine{name: name, service: e.Service, speed: s.speedOf(e.Service)}
	parts, err := simplelru.NewLRU(maxParts, func(key uint64, p *cachedPart) { s.release(key, p) })
	if err != nil {
		panic("cacheaware: creating an LRU cache: " + err.Error())
	}
	eng.parts = parts
	s.engines[name] = eng
	return eng
}

// hold takes a prompt to be cached by an engine, in place of the parts that were used the longest time ago.
func (s *Selector) hold(eng *engine, prompt []prefixPart) {
	for _, p := range prompt {
		if _, ok := eng.parts.Get(p.key); ok {
			continue
		}
		part := &cachedPart{engine: eng, tokens: p.tokens, position: len(s.holders[p.key])}
		s.holders[p.key] = append(s.holders[p.key], part)
		eng.tokens += p.tokens
		eng.parts.Add(p.key, part)
	}
	for eng.tokens > eng.capacity && eng.parts.Len() > 0 {
		eng.parts.RemoveOldest()
	}
}

// release removes a part that an engine has evicted from the index.
func (s *Selector) release(key uint64, p *cachedPart) {
	p.engine.tokens -= p.tokens
	list := s.holders[key]
	last := list[len(list)-1]
	list[p.position], last.position = last, p.position
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(s.holders, key)
	} else {
		s.holders[key] = list
	}
}

// currentRatio returns the ratio of the engine's time for work to that of a usual engine.
func (eng *engine) currentRatio(now instant) float64 {
	if age := now.since - eng.ratioAt; eng.ratio == 0 || age < 0 || age > ratioLifetime {
		eng.ratio, eng.ratioAt = eng.speed.Ratio(eng.name, now.Time), now.since
	}
	return eng.ratio
}

// cachedTokens returns the tokens of the first parts of a prompt that are cached.
func (eng *engine) cachedTokens(prompt []prefixPart) int {
	n := 0
	for _, p := range prompt {
		if !eng.parts.Contains(p.key) {
			break
		}
		n += p.tokens
	}
	return n
}
