// Package arrival provides the arrival times of an open-loop load: a Poisson
// process whose rate goes through steps and bursts. Equal seeds give equal times.
package arrival

// This file defines Process, Step and Burst.

import (
	"math/rand/v2"
	"time"
)

// Step is a time of constant rate.
type Step struct {
	Rate   float64       // arrivals a second
	Length time.Duration // of the step
}

// Burst multiplies the rate for a time.
type Burst struct {
	At     time.Duration // from the start of the first step
	Length time.Duration
	Factor float64
}

// Arrival is one arrival.
type Arrival struct {
	At   time.Duration // from the start of the first step
	Step int           // index of the step
}

// Process gives arrivals in the order of their time.
type Process struct {
	steps  []Step
	bursts []Burst
	rng    *rand.Rand

	now   time.Duration
	step  int
	start time.Duration // of the current step
}

// New returns the process of a seed.
func New(steps []Step, bursts []Burst, seed uint64) *Process {
	return &Process{steps: steps, bursts: bursts, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next arrival, and false after the last step.
func (p *Process) Next() (Arrival, bool) {
	for p.step < len(p.steps) {
		rate, until := p.rate()
		if rate > 0 {
			gap := time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
			if p.now+gap < until {
				p.now += gap
				return Arrival{At: p.now, Step: p.step}, true
			}
		}
		// The process has no memory, so it may be drawn anew at each change of its rate.
		p.now = until
		if p.now == p.start+p.steps[p.step].Length {
			p.start = p.now
			p.step++
		}
	}
	return Arrival{}, false
}

// rate returns the rate now, and the time until which it holds.
func (p *Process) rate() (float64, time.Duration) {
	rate := p.steps[p.step].Rate
	until := p.start + p.steps[p.step].Length
	for _, b := range p.bursts {
		end := b.At + b.Length
		switch {
		case p.now < b.At:
			until = min(until, b.At)
		case p.now < end:
			rate *= b.Factor
			until = min(until, end)
		}
	}
	return rate, until
}
