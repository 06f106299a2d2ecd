// Package freshness keeps the time at which the configuration in force was last
// confirmed to be the newest one in the store. A revoked API key must stop working
// within a bound, even on an instance that is cut off from the store or that was
// suspended. Requests with a key are therefore accepted only if the last
// confirmation is recent enough. The package does no I/O and takes no locks.
package freshness

// This file defines Tracker.

import (
	"sync/atomic"
	"time"
)

// Tracker holds the time of the last confirmation, as read from a clock that is
// passed in. It is safe for concurrent use.
type Tracker struct {
	clock    func() time.Duration // continues while the instance is suspended
	at       atomic.Int64         // time of the last confirmation, in nanoseconds of clock; zero for none
	expected atomic.Int64         // time before which none is expected, in nanoseconds of clock
}

// New returns a Tracker without a confirmation. The clock must continue while the
// instance is suspended, as boottime.Now does.
func New(clock func() time.Duration) *Tracker { return &Tracker{clock: clock} }

// Now returns the current time of the clock. Read it before asking the store, and
// pass it to Confirm once the store has answered.
func (t *Tracker) Now() time.Duration { return t.clock() }

// Confirm records that the configuration was the newest one at the given time of the
// clock. It does nothing if a later time is already recorded.
func (t *Tracker) Confirm(at time.Duration) {
	for {
		old := t.at.Load()
		if int64(at) <= old || t.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Reset drops the last confirmation: the newest configuration is not the one in force.
func (t *Tracker) Reset() { t.at.Store(0) }

// Expect records that no confirmation is expected before the given time of the clock.
func (t *Tracker) Expect(at time.Duration) { t.expected.Store(int64(at)) }

// UntilExpected returns the time until a confirmation is expected; zero if one may come at
// any time.
func (t *Tracker) UntilExpected() time.Duration {
	return max(0, time.Duration(t.expected.Load())-t.clock())
}

// ConfirmedAt returns the time of the last confirmation, and false if there was none.
func (t *Tracker) ConfirmedAt() (time.Duration, bool) {
	at := t.at.Load()
	return time.Duration(at), at != 0
}

// Age returns the time since the last confirmation, and false if there was none.
func (t *Tracker) Age() (time.Duration, bool) {
	at, ok := t.ConfirmedAt()
	if !ok {
		return 0, false
	}
	return t.clock() - at, true
}

// Within reports whether the last confirmation is at most as old as the bound. It
// returns false if there was none.
func (t *Tracker) Within(bound time.Duration) bool {
	age, ok := t.Age()
	return ok && age <= bound
}
