// Package seatstate decides whether a process may use its seat, and which units
// of it. A seat is a numbered slot of the fleet that holds a fixed part of every
// account's limits. The rules keep two processes from using the same unit when
// a process is replaced, is cut off from its peers, or the number of seats
// changes. The package starts no goroutines, does no locking and reads no clock:
// callers serialise access and pass the time.
package seatstate

// This file defines State and when its seat is open.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
)

// Timing holds the periods that keep two processes from using one unit.
type Timing struct {
	QuietPeriod      time.Duration // from the start of a process until it uses its seat; zero for a fleet with no earlier process
	MaxRequestTime   time.Duration // longest time that an admitted request may run
	IsolationTimeout time.Duration // the seat is closed when no call to a peer sent within this time was answered
}

// State is the state of the seat of one process.
type State struct {
	seat        int
	incarnation uint64
	start       time.Time
	timing      Timing

	seats       int // in the table in force; zero before the first table
	epoch       uint64
	version     uint64
	lastContact time.Time // when the last call that a peer answered was sent; initially when the first table was set
	replaced    bool
	hasOpened   bool // the quiet period is over or a first start was confirmed, so the seat may have been used
	firstStart  firstStart
	resizes     []*pendingResize // changes of the seat count with units not yet released
	generation  uint64
}

// New returns the state of a process that starts now. A negative seat means
// that the process has none.
func New(seat int, incarnation uint64, now time.Time) *State {
	return &State{seat: seat, incarnation: incarnation, start: now}
}

// SetTable takes over a table: its number of seats and the timing derived from it.
func (s *State) SetTable(seats int, epoch, version uint64, r Timing, now time.Time) {
	if s.seats != 0 && s.seats != seats {
		s.resizes = append(s.resizes, newPendingResize(s.seats, s.seat, epoch, version))
	}
	if s.seats == 0 {
		s.lastContact = now
	}
	r.MaxRequestTime = max(r.MaxRequestTime, s.timing.MaxRequestTime) // requests admitted under an earlier table may still run
	s.seats, s.epoch, s.version, s.timing = seats, epoch, version, r
	s.generation++
}

// Open reports whether the process may use its seat at all: the seat exists, no
// later process has replaced this one, the quiet period is over, and a peer has
// answered within the isolation timeout. A single seat has no peers to answer.
// Open also records that the quiet period is over, see AddResize.
func (s *State) Open(now time.Time) bool {
	switch {
	case s.seat < 0 || s.seat >= s.seats || s.replaced:
		return false
	case within(s.start, s.timing.QuietPeriod, now) && !s.firstStart.confirmed(s.seat, s.seats):
		return false
	}
	s.hasOpened = true
	return s.seats == 1 || within(s.lastContact, s.timing.IsolationTimeout, now)
}

// within reports whether less than d has passed since t by both the monotonic
// and the wall clock. Either of them stands still in some kinds of pause, such
// as a suspended machine.
func within(t time.Time, d time.Duration, now time.Time) bool {
	return now.Sub(t) < d && now.Round(0).Sub(t.Round(0)) < d
}

// RecordIncarnation records the newest incarnation that a peer knows for this
// process's own seat, in answer to a call sent at the given time. One that is
// newer than its own means that this process has been replaced, for good.
func (s *State) RecordIncarnation(newest uint64, asked time.Time) {
	if newest > s.incarnation {
		s.replaced = true
		return
	}
	if asked.After(s.lastContact) {
		s.lastContact = asked
	}
}

// Replaced reports whether a later process is known to hold this seat.
func (s *State) Replaced() bool { return s.replaced }

// Units returns how many of an account's units 0 to units-1 this seat may use
// while it is open.
func (s *State) Units(account string, units int) int {
	n := 0
	for k := range units {
		if assignment.SeatOf(account, k, s.seats) == s.seat && s.isReleased(account, k) {
			n++
		}
	}
	return n
}

// isReleased reports whether the previous holders of unit k, one for each
// pending resize, no longer use it.
func (s *State) isReleased(account string, k int) bool {
	for _, r := range s.resizes {
		if !r.released[assignment.SeatOf(account, k, r.oldSeats)] {
			return false
		}
	}
	return true
}

// Generation returns a number that increases whenever the results of Units may
// have changed.
func (s *State) Generation() uint64 { return s.generation }
