// Package cache stands in for a model engine's prefix cache: blocks of prompts
// in limited memory, with events of what it keeps and drops that come late and
// with gaps.
package cache

// This file defines Cache and Event.

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

// mostEvents bounds the events that are kept for readers.
const mostEvents = 4096

// Options sets the size of a cache and the quality of its events.
type Options struct {
	Blocks int           // blocks that fit
	Lag    time.Duration // age at which an event can be read
	Gap    int           // every Gap-th event is lost; 0 for none
}

// Event says that a block is kept, or dropped.
type Event struct {
	Number uint64
	Block  uint64
	Drop   bool
	at     time.Time
}

// Cache holds the least recently used order of blocks. It is safe for concurrent use.
type Cache struct {
	options Options

	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, struct{}]
	number uint64 // of the last event
	events []Event
}

// New returns an empty cache.
func New(o Options) *Cache {
	c := &Cache{options: o}
	blocks, err := simplelru.NewLRU(max(1, o.Blocks), func(b uint64, _ struct{}) { c.record(b, true) })
	if err != nil {
		panic("cache: " + err.Error())
	}
	c.blocks = blocks
	return c
}

// Use returns the share of a prompt that was cached, from 0 to 1, and keeps the whole prompt.
func (c *Cache) Use(prompt string) float64 {
	blocks := prefix.Blocks(nil, prompt)
	if len(blocks) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(blocks) {
		if _, ok := c.blocks.Get(blocks[hits]); !ok {
			break
		}
		hits++
	}
	for _, b := range blocks[hits:] {
		c.blocks.Add(b, struct{}{})
		c.record(b, false)
	}
	return float64(hits) / float64(len(blocks))
}

// record adds an event. The lock is held.
func (c *Cache) record(block uint64, drop bool) {
	c.number++
	if c.options.Gap > 0 && c.number%uint64(c.options.Gap) == 0 {
		return
	}
	c.events = append(c.events, Event{Number: c.number, Block: block, Drop: drop, at: time.Now()})
	if len(c.events) > mostEvents {
		c.events = c.events[len(c.events)-mostEvents:]
	}
}

// After returns the events after a number that are old enough to be read, and
// the number to ask after next.
func (c *Cache) After(number uint64) (events []Event, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := time.Now().Add(-c.options.Lag)
	next = number
	for _, e := range c.events {
		if e.at.After(old) {
			break
		}
		if e.Number > number {
			events = append(events, e)
			next = e.Number
		}
	}
	return events, next
}
