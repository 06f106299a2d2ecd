// Package patience estimates how long callers have waited before a request
// arrives, for load in which refused callers come back: they are to be on time
// from their first attempt, and state only the time that they have left. Where
// most requests of a route state the same time, those that state less are
// taken for returns.
package patience

// This file defines Patience.

import (
	"sync"
	"time"
)

const (
	least     = 32   // requests of a route before anything is concluded
	most      = 4096 // requests after which the counts are halved
	mostShare = 0.5  // of requests that have to state the longest time
	tolerance = 0.02 // by which a stated time may be shorter and still be the longest
)

// Patience learns the times that callers state, by route. It is safe for
// concurrent use.
type Patience struct {
	mu     sync.Mutex
	routes map[string]*counts
}

type counts struct {
	longest time.Duration
	whole   int // requests that stated the longest time
	all     int
}

// New returns a Patience that knows nothing.
func New() *Patience { return &Patience{routes: make(map[string]*counts)} }

// Waited takes in the time that a request states, and returns how long its
// caller has probably waited already.
func (p *Patience) Waited(route string, stated time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.routes[route]
	if c == nil {
		c = new(counts)
		p.routes[route] = c
	}
	c.note(stated)
	if c.all < least || float64(c.whole) < mostShare*float64(c.all) || c.isWhole(stated) {
		return 0
	}
	return c.longest - stated
}

func (c *counts) isWhole(stated time.Duration) bool {
	return float64(stated) >= (1-tolerance)*float64(c.longest)
}

func (c *counts) note(stated time.Duration) {
	if float64(c.longest) < (1-tolerance)*float64(stated) {
		*c = counts{} // what was the longest is not any more
	}
	c.longest = max(c.longest, stated)
	if c.all++; c.isWhole(stated) {
		c.whole++
	}
	if c.all >= most {
		c.all, c.whole = c.all/2, c.whole/2
	}
}
