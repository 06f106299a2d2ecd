// Package gate decides which units of its seat a process may use. It has no
// goroutines and no clock.
package seatstate

// This file defines Gate and when it is open.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
)

// Timing are the periods that keep two processes from using one unit.
type Timing struct {
	QuietPeriod      time.Duration // from the start of a process until it uses its seat; zero for the first of a fleet
	MaxRequestTime   time.Duration // longest that an admitted request may run
	IsolationTimeout time.Duration // how long the seat is used after the last answer of a witness
}

// State is the state of one process that has a seat.
type State struct {
	seat        int
	incarnation uint64
	start       time.Time
	rules       Timing

	seats    int // in the table in force; zero before the first
	epoch    uint64
	version  uint64
	contact  time.Time // when the last witness that answered was asked
	replaced bool
	isOpened bool // the quiet period is over
	first    first
	shifts   []*shift // changes of the seat count whose units still rest
	changes  uint64
}

// New returns the gate of a process that starts now. A seat below zero is none.
func New(seat int, incarnation uint64, now time.Time) *State {
	return &State{seat: seat, incarnation: incarnation, start: now}
}

// SetTable takes over a table: its seat count and the rules that follow from it.
func (g *State) SetTable(seats int, epoch, version uint64, r Timing, now time.Time) {
	if g.seats != 0 && g.seats != seats {
		g.shifts = append(g.shifts, newShift(g.seats, g.seat, epoch, version))
	}
	if g.seats == 0 {
		g.contact = now
	}
	r.MaxRequestTime = max(r.MaxRequestTime, g.rules.MaxRequestTime) // earlier requests may still run
	g.seats, g.epoch, g.version, g.rules = seats, epoch, version, r
	g.changes++
}

// Open reports whether the seat may be used at all.
func (g *State) Open(now time.Time) bool {
	switch {
	case g.seat < 0 || g.seat >= g.seats || g.replaced:
		return false
	case within(g.start, g.rules.QuietPeriod, now) && !g.first.known(g.seat, g.seats):
		return false
	}
	g.isOpened = true
	return g.seats == 1 || within(g.contact, g.rules.IsolationTimeout, now)
}

// within reports whether less than d passed since t by both clocks, the
// monotonic and the wall clock, as either stands still in some kinds of pause.
func within(t time.Time, d time.Duration, now time.Time) bool {
	return now.Sub(t) < d && now.Round(0).Sub(t.Round(0)) < d
}

// RecordIncarnation takes in that a witness, asked at the given time, knows of an incarnation
// in this process's own seat. A later one than its own has replaced it.
func (g *State) RecordIncarnation(newest uint64, asked time.Time) {
	if newest > g.incarnation {
		g.replaced = true
		return
	}
	if asked.After(g.contact) {
		g.contact = asked
	}
}

// Replaced reports whether a later process has this seat.
func (g *State) Replaced() bool { return g.replaced }

// Units returns how many of an account's first units this seat may use, once it is open.
func (g *State) Units(account string, units int) int {
	n := 0
	for k := range units {
		if assignment.SeatOf(account, k, g.seats) == g.seat && g.hasRested(account, k) {
			n++
		}
	}
	return n
}

func (g *State) hasRested(account string, k int) bool {
	for _, s := range g.shifts {
		if !s.released[assignment.SeatOf(account, k, s.seats)] {
			return false
		}
	}
	return true
}

// Generation rises with each change of what Units returns.
func (g *State) Generation() uint64 { return g.changes }
