// Package pace tells whether an instance's processor has turned slow, by how
// long a fixed piece of work takes against what it usually takes.
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
	// slowFrom and slowUntil are the multiples of the usual time from which the
	// processor counts as slow, and at which it no longer does. Times of one
	// machine differ by a factor of up to 2.5 in some seconds.
	slowFrom  = 3.0
	slowUntil = 2.0
	// history is the number of shortest times of which the median is the usual
	// one. A processor that stays slow for half as long counts as usual then.
	history = 80
	// enough is the number of them from which on something is concluded.
	enough = 8
)

// Pace is not safe for concurrent use.
type Pace struct {
	last  []time.Duration // of the work
	least []time.Duration // shortest of the last ones, at each time
	slow  bool
}

// Note records how long the work took.
func (p *Pace) Note(took time.Duration) {
	p.last = push(p.last, took, window)
	p.least = push(p.least, slices.Min(p.last), history)
	bound := slowFrom
	if p.slow {
		bound = slowUntil
	}
	p.slow = len(p.least) >= enough && p.Factor() > bound
}

// push appends a time and drops the oldest beyond most.
func push(list []time.Duration, d time.Duration, most int) []time.Duration {
	if len(list) == most {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, d)
}

// Slow reports whether the processor is slow.
func (p *Pace) Slow() bool { return p.slow }

// Factor returns how many times as long as usual the work takes now.
func (p *Pace) Factor() float64 {
	if len(p.least) == 0 {
		return 1
	}
	usual := slices.Sorted(slices.Values(p.least))[len(p.least)/2]
	return float64(p.least[len(p.least)-1]) / float64(usual)
}
