// Package cpuspeed detects that the processor of this instance has become slow, by
// comparing how long a fixed computation takes with how long it usually takes.
//
// A slow instance still answers health checks, but if it is the coordinator all
// stage work becomes late. The load of the instance does not affect the result:
// only the shortest of several measurements counts, which is hardly ever
// interrupted. A Detector does no I/O and reads no clock; only Probe does.
package cpuspeed

// This file defines Detector.

import (
	"slices"
	"time"
)

const (
	// window is the number of latest measurements of which the shortest counts.
	window = 3
	// The processor counts as slow when the computation takes more than
	// slowThreshold times as long as usual, and as normal again at
	// recoveredThreshold or below. Measurements on one healthy machine differ by a
	// factor of up to 2.5 within some seconds.
	slowThreshold      = 3.0
	recoveredThreshold = 2.0
	// history is the number of shortest times whose median is the usual time. If
	// the processor stays slow for half of the history, that becomes the usual time
	// and it no longer counts as slow.
	history = 80
	// minHistory is the number of shortest times before which the processor never
	// counts as slow.
	minHistory = 8
)

// Detector holds the latest measurements. The zero value is ready for use. It is
// not safe for concurrent use.
type Detector struct {
	last  []time.Duration // latest measurements, up to window
	least []time.Duration // for each measurement, the shortest in its window, up to history
	slow  bool
}

// Observe records how long the computation took, as returned by Probe.
func (d *Detector) Observe(took time.Duration) {
	d.last = push(d.last, took, window)
	d.least = push(d.least, slices.Min(d.last), history)
	bound := slowThreshold
	if d.slow {
		bound = recoveredThreshold
	}
	d.slow = len(d.least) >= minHistory && d.Slowdown() > bound
}

// push appends took and drops the oldest element if the list already has limit
// elements.
func push(list []time.Duration, took time.Duration, limit int) []time.Duration {
	if len(list) == limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, took)
}

// Slow reports whether the processor counts as slow.
func (d *Detector) Slow() bool { return d.slow }

// Slowdown returns how many times as long as usual the computation takes now; 1
// before the first measurement.
func (d *Detector) Slowdown() float64 {
	if len(d.least) == 0 {
		return 1
	}
	usual := slices.Sorted(slices.Values(d.least))[len(d.least)/2]
	return float64(d.least[len(d.least)-1]) / float64(usual)
}
