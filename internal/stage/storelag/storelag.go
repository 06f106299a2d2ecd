// Package storelag detects that this instance has lost the configuration store
// while other instances still reach it.
//
// Each instance reports when it last confirmed with the store that its
// configuration is the newest. This instance lags if its own confirmation is old
// and another instance has a clearly newer one. The age alone is not enough: in an
// outage of the store for all instances all confirmations grow old together, and
// each coordinator would hand over to the instance whose confirmation is slightly
// newer, until every instance batched its work alone. A Detector reads no clock
// and does no I/O.
package storelag

// This file defines Detector.

import (
	"sync"
	"time"
)

const (
	// MinAge is the age of the own confirmation up to which an instance never lags. Instances that follow a
	// coordinator which has lost the store refuse requests with keys from about this age on.
	// It is several times as long as a confirmation takes to reach all instances, so
	// that a store that only answers slowly does not cause a handover.
	MinAge = 5 * time.Second
	// maxSpread is the greatest difference between the confirmations of instances
	// that lost the store at the same moment. It covers the wait of a watch, the age
	// from which another instance's confirmation is not trusted, and the interval of
	// the reports between instances.
	maxSpread = 4 * time.Second
)

// Detector keeps the newest confirmation of other instances. It is safe for
// concurrent use.
type Detector struct {
	mu     sync.Mutex
	newest time.Duration // newest confirmation of another instance, on this instance's boot clock
	known  bool          // newest is set
}

// New returns a Detector that knows of no other instance.
func New() *Detector { return new(Detector) }

// Observe records when another instance last confirmed its configuration, on this
// instance's boot clock. An earlier moment than the recorded one changes nothing.
func (d *Detector) Observe(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || at > d.newest {
		d.newest, d.known = at, true
	}
}

// Behind reports whether this instance, whose own confirmation was made at the
// moment own, lags at the moment now: its confirmation is older than MinAge, and that
// of another instance is newer by more than maxSpread. It returns false as long as no
// other instance is known.
func (d *Detector) Behind(own, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now-own > MinAge && d.known && d.newest-own > maxSpread
}
