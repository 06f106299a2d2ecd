// Package allowance bounds the repeated sends to each service in every sliding
// window, for load in which many requests fail at once: an instance repeats at
// most a share of its own first sends, so that the sum over all instances
// keeps the same share without any message between them.
package allowance

// This file defines Allowance.

import (
	"sync"
	"time"
)

const slices = 10 // parts of a window

// Allowance counts first and repeated sends. It is safe for concurrent use.
type Allowance struct {
	share  float64
	spare  int // repeats allowed in a window beyond the share
	window time.Duration

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	slot   int64 // number of the newest slice
	firsts [slices + 1]int
	again  [slices + 1]int
}

// New returns an allowance of repeats in each window: a share of the first
// sends and a few to spare.
func New(share float64, spare int, window time.Duration) *Allowance {
	return &Allowance{share: share, spare: spare, window: window, services: make(map[string]*counts)}
}

// First records the first send of a request to a service.
func (a *Allowance) First(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.at(service, now)
	c.firsts[c.slot%(slices+1)]++
}

// Repeat reports whether one more repeated send to a service is allowed, and counts it.
func (a *Allowance) Repeat(service string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.at(service, now)
	firsts, again := 0, 0
	for i := range c.firsts {
		firsts += c.firsts[i]
		again += c.again[i]
	}
	if float64(again+1) > a.share*float64(firsts)+float64(a.spare) {
		return false
	}
	c.again[c.slot%(slices+1)]++
	return true
}

// at returns the counts of a service with the slices that left the window emptied.
func (a *Allowance) at(service string, now time.Time) *counts {
	slot := now.UnixNano() / int64(a.window/slices)
	c := a.services[service]
	if c == nil {
		c = &counts{slot: slot}
		a.services[service] = c
	}
	for ; c.slot < slot; c.slot++ {
		if slot-c.slot > slices+1 {
			c.slot = slot - slices - 1
		}
		c.firsts[(c.slot+1)%(slices+1)] = 0
		c.again[(c.slot+1)%(slices+1)] = 0
	}
	return c
}
