// Package lag tells whether an instance is cut off from the store that others
// still reach, by how old the proofs of the others are.
//
// It answers a store that is away for some instances, and one that is away for
// all: there the proofs of all grow old at the same time, and an age alone
// would have each instance that gathers hand the work to the one whose proof is
// a moment younger, until everybody gathers for itself. A Lag has no clock and
// does no input or output.
package lag

// This file defines Lag.

import (
	"sync"
	"time"
)

const (
	// Old is the age of a proof up to which an instance never lags: several
	// times as long as proofs take on their way to all, so that a store which
	// answers slowly moves no work.
	Old = 8 * time.Second
	// ahead is by how much the proofs of instances differ at most that lost the
	// store at the same moment: the wait of a watch, the age at which the proof of
	// another is not trusted, and the time between two rolls.
	ahead = 4 * time.Second
)

// Lag keeps the newest proof of others. It is safe for concurrent use.
type Lag struct {
	mu     sync.Mutex
	newest time.Duration // moment of this instance's own boot clock
	heard  bool
}

// New returns a Lag that has heard of nobody.
func New() *Lag { return new(Lag) }

// Heard records that another instance's proof was of the given moment.
func (l *Lag) Heard(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heard || at > l.newest {
		l.newest, l.heard = at, true
	}
}

// Behind reports whether this instance's own proof, made at the given moment,
// is old while another one has a newer one.
func (l *Lag) Behind(own, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-own > Old && l.heard && l.newest-own > ahead
}
