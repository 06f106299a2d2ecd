// Package cache simulates the prefix cache of a model engine: an LRU cache of prompt
// blocks that reports its insertions and evictions as events. As with real engines,
// events become readable with a delay and some are lost.
package cache

// This file defines Cache and Event.

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

// maxEvents limits the events that are retained for readers; older ones are dropped.
const maxEvents = 4096

// Options sets the size of a cache and the delay and loss of its events.
type Options struct {
	Blocks    int           // capacity in blocks
	EventLag  time.Duration // delay until an event can be read
	LoseEvery int           // every LoseEvery-th event is lost; 0 to lose none
}

// Event reports that a block was inserted, or evicted if Drop is set.
type Event struct {
	Number uint64
	Block  uint64
	Drop   bool
	at     time.Time
}

// Cache is the LRU cache of one engine. It is safe for concurrent use.
type Cache struct {
	options Options

	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, struct{}]
	number uint64 // number of the last event, including lost ones
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

// Use returns which fraction of the prompt's blocks was cached as a prefix, from 0
// to 1, and inserts the remaining blocks.
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

// record adds an event. The caller holds c.mu.
func (c *Cache) record(block uint64, drop bool) {
	c.number++
	if c.options.LoseEvery > 0 && c.number%uint64(c.options.LoseEvery) == 0 {
		return
	}
	c.events = append(c.events, Event{Number: c.number, Block: block, Drop: drop, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// After returns the readable events whose number is greater than the given one, and
// the number to pass to the next call.
func (c *Cache) After(number uint64) (events []Event, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	readable := time.Now().Add(-c.options.EventLag)
	next = number
	for _, e := range c.events {
		if e.at.After(readable) {
			break
		}
		if e.Number > number {
			events = append(events, e)
			next = e.Number
		}
	}
	return events, next
}
