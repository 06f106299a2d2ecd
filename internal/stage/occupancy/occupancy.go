// Package occupancy estimates how many results a second the space of a service's endpoints
// allows.
//
// A result takes space from the turn of its call until the last stage that reads it has ended, or
// the engine has sent its first event. If results are large, or if those of a lost
// coordinator stay until their retention time, space runs out while endpoints have time
// left, and jobs that are admitted by time alone fill the queues. A Meter reads no clock and does
// no I/O.
package occupancy

// This file defines Meter.

import (
	"math"
	"time"
)

// gain is the weight of one result in the moving mean. The mean spans a few calls.
const gain = 0.01

// ampleShare is the share of the whole space from which on it bounds nothing.
const ampleShare = 0.75

// Meter measures the space that the results of a service take over time. The zero value is ready for
// use. It is not safe for concurrent use: the caller holds a lock.
type Meter struct {
	byteSeconds float64 // moving mean of a result's size multiplied by the time for which it was held
}

// Record records a result that was freed after it had been held for a time.
func (m *Meter) Record(size int64, held time.Duration) {
	seen := float64(size) * held.Seconds()
	if m.byteSeconds == 0 {
		m.byteSeconds = seen
	}
	m.byteSeconds += gain * (seen - m.byteSeconds)
}

// Rate returns the results a second that the space allows which others leave of the whole; infinity if they leave most of
// it, since the endpoints' time then binds before space does, or if no result was recorded.
func (m *Meter) Rate(space, whole int64) float64 {
	if m.byteSeconds <= 0 || float64(space) >= ampleShare*float64(whole) {
		return math.Inf(1)
	}
	return float64(max(0, space)) / m.byteSeconds
}
