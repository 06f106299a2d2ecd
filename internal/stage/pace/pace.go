// Package pace tells whether an instance's processor has turned slow, by how
// long a fixed piece of work takes against the best time that was seen.
//
// It answers instances that turn slow while they answer whoever asks whether
// they live: on the one that gathers, all work would be late. How busy the
// instance is says nothing of it: of several times the shortest counts, which
// is hardly ever interrupted. A Pace has no clock and does no input or output.
package pace

// This file defines Pace.

import (
	"slices"
	"time"
)

const (
	// window is the number of the last times of which the shortest counts.
	window = 3
	// slowFrom and slowUntil are the multiples of the best time from which the
	// processor counts as slow, and at which it no longer does. Times of one
	// machine differ by a factor of up to 1.7.
	slowFrom  = 2.5
	slowUntil = 2.0
)

// Pace is not safe for concurrent use.
type Pace struct {
	best time.Duration // zero before the first time
	last []time.Duration
	slow bool
}

// Note records how long the work took.
func (p *Pace) Note(took time.Duration) {
	if p.best == 0 || took < p.best {
		p.best = took
	}
	if len(p.last) == window {
		p.last = slices.Delete(p.last, 0, 1)
	}
	p.last = append(p.last, took)
	bound := slowFrom
	if p.slow {
		bound = slowUntil
	}
	p.slow = len(p.last) == window && p.Factor() > bound
}

// Slow reports whether the processor is slow.
func (p *Pace) Slow() bool { return p.slow }

// Factor returns how many times as long as at best the work takes now.
func (p *Pace) Factor() float64 {
	if p.best == 0 {
		return 1
	}
	return float64(slices.Min(p.last)) / float64(p.best)
}
