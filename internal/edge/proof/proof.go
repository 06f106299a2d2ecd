// Package proof keeps how long ago the configuration in force was last proved
// to be the newest. Keys that were taken away must stop working within a bound
// even on an instance that is cut off or was suspended, so each request with a
// key is admitted against the age of the proof.
package proof

// This file defines Proof.

import (
	"sync/atomic"
	"time"
)

// Proof holds the moment of the newest proof. It is safe for concurrent use.
type Proof struct {
	clock func() time.Duration // must go on during suspension
	at    atomic.Int64         // nanoseconds of the clock; zero before the first proof
}

// New returns an empty proof. The clock must not stop while the instance is
// suspended.
func New(clock func() time.Duration) *Proof { return &Proof{clock: clock} }

// Now reads the clock, for a later call of Renew.
func (p *Proof) Now() time.Duration { return p.clock() }

// Renew records that the configuration was the newest at the given moment.
// An earlier moment than the recorded one changes nothing.
func (p *Proof) Renew(at time.Duration) {
	for {
		old := p.at.Load()
		if int64(at) <= old || p.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// At returns the moment of the newest proof, and false before the first.
func (p *Proof) At() (time.Duration, bool) {
	at := p.at.Load()
	return time.Duration(at), at != 0
}

// Age returns the time since the newest proof, and false before the first.
func (p *Proof) Age() (time.Duration, bool) {
	at, ok := p.At()
	if !ok {
		return 0, false
	}
	return p.clock() - at, true
}

// Within reports whether there is a proof that is not older than the bound.
func (p *Proof) Within(bound time.Duration) bool {
	age, ok := p.Age()
	return ok && age <= bound
}
