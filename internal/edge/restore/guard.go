// Package restore decides what an answer of the store proves after the store came back
// from a copy some seconds old.
//
// A withdrawn API key must stop working within a bound from the moment at which the
// store accepted the catalog without it. A store that has lost this catalog still
// answers, and its answer then proves nothing about what it has forgotten. The
// operators write again what was lost. Until they had the time to do so, no answer
// proves the catalog in force to be the newest one; afterwards an answer does so unless
// some instance has a newer version in force. The package does no I/O and reads no
// clock.
package restore

// This file defines Guard and Verdict.

import (
	"fmt"
	"time"
)

// RewriteTimeout is the time after the return of the store within which operators and
// endpoints write again what it has lost.
const RewriteTimeout = 2200 * time.Millisecond

// Verdict says what an answer of the store proves.
type Verdict int

const (
	// Proven means that the catalog in force was the newest one.
	Proven Verdict = iota + 1
	// TooEarly means that operators may still have to write the newest version again.
	TooEarly
	// VersionLost means that some instance has a newer version than the store.
	VersionLost
)

var verdictNames = [...]string{Proven: "proven", TooEarly: "too early", VersionLost: "version lost"}

// String returns the name used in logs.
func (v Verdict) String() string {
	if v < Proven || v > VersionLost {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Guard keeps when the store last came back from a copy, by the boot clock of this
// instance: when its era began at the latest. It is not safe for concurrent use.
type Guard struct {
	restoredAt time.Duration
	restored   bool
}

// New returns a Guard of a store that has not come back from a copy.
func New() *Guard { return new(Guard) }

// Restored records that the store had come back from a copy at the given time at the
// latest, as this instance saw. An earlier time than the recorded one changes nothing.
func (g *Guard) Restored(at time.Duration) {
	if !g.restored || at > g.restoredAt {
		g.restoredAt, g.restored = at, true
	}
}

// BeganBy records that the era of the store had already begun at the given time, as
// another instance saw. It reports whether this is earlier than was known.
func (g *Guard) BeganBy(at time.Duration) bool {
	if !g.restored || at >= g.restoredAt {
		return false
	}
	g.restoredAt = at
	return true
}

// RestoredAt returns when the store came back at the latest, and false if it did not.
func (g *Guard) RestoredAt() (time.Duration, bool) { return g.restoredAt, g.restored }

// ProvesFrom returns the time from which on answers of the store count, and zero if
// all do.
func (g *Guard) ProvesFrom() time.Duration {
	if !g.restored {
		return 0
	}
	return g.restoredAt + RewriteTimeout
}

// Judge returns what an answer of the store proves that was true at the time at, if
// the version of the catalog inForce is the newest that the store has, and newest is
// the newest that any instance was known to have in force when the store was asked.
func (g *Guard) Judge(at time.Duration, inForce, newest uint64) Verdict {
	switch {
	case inForce < newest:
		return VersionLost
	case at < g.ProvesFrom():
		return TooEarly
	default:
		return Proven
	}
}
