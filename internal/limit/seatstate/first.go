package seatstate

// This file defines first: the first start of a fleet, in which no process
// came before any other and nothing is in doubt.

import "time"

// first is what the holders of the other seats say of a first start.
type first struct {
	denied bool         // some holder knows of an earlier time
	agreed map[int]bool // seats whose holders take part in it
}

// known reports whether the holders of all other seats agree. A single seat
// has nobody to ask, and waits.
func (f *first) known(self, seats int) bool {
	if f.denied || seats < 2 {
		return false
	}
	for seat := range seats {
		if seat != self && !f.agreed[seat] {
			return false
		}
	}
	return true
}

// RecordFirstStart takes in whether the holder of another seat takes part in a first
// start and has met no other process in this seat.
func (g *State) RecordFirstStart(seat int, agrees bool) {
	if !agrees {
		g.first.denied = true
		return
	}
	if g.first.agreed == nil {
		g.first.agreed = make(map[int]bool)
	}
	g.first.agreed[seat] = true
}

// InFirstStart reports whether this process takes part in a first start: it started
// within the quiet period and has heard nothing of an earlier time. A process
// that opens early has been met by all holders, so its replacement is denied.
func (g *State) InFirstStart(now time.Time) bool {
	return g.seat >= 0 && !g.first.denied && within(g.start, g.rules.QuietPeriod, now)
}

// AwaitsFirstStart reports whether the holders of all other seats should be asked.
func (g *State) AwaitsFirstStart(now time.Time) bool {
	return g.InFirstStart(now) && !g.first.known(g.seat, g.seats)
}
