// Package arrival generates the arrival times of an open-loop load: a Poisson process
// whose rate changes in steps and bursts. Equal seeds give equal times. The package reads
// no clock and does no I/O.
package arrival

// This file defines Process, Step, Burst and Arrival.

import (
	"math/rand/v2"
	"time"
)

// Step is a period of constant rate, apart from bursts.
type Step struct {
	Rate   float64       // arrivals a second
	Length time.Duration // duration of the step
}

// Burst multiplies the rate of the steps for a period. The factors of overlapping bursts
// multiply.
type Burst struct {
	At     time.Duration // from the start of the first step
	Length time.Duration // duration of the burst
	Factor float64       // multiple of the rate
}

// Arrival is one arrival.
type Arrival struct {
	At   time.Duration // from the start of the first step
	Step int           // index of the step
}

// Process generates arrivals in the order of their time. It is not safe for concurrent
// use.
type Process struct {
	steps  []Step
	bursts []Burst
	rng    *rand.Rand

	now   time.Duration // time of the last arrival, or of the last change of the rate if later
	step  int           // index of the current step
	start time.Duration // when the current step started
}

// New returns a process that runs through the steps in order.
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
		// A Poisson process is memoryless, so the gap can be drawn anew from each change
		// of the rate.
		p.now = until
		if p.now == p.start+p.steps[p.step].Length {
			p.start = p.now
			p.step++
		}
	}
	return Arrival{}, false
}

// rate returns the current rate, and the time until which it stays the same.
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
