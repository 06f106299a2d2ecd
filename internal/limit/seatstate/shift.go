package seatstate

// This file defines shift: the hand-over of units when the seat count changes.

import "time"

// shift is one change of the seat count. A unit that comes from another seat
// is used once that seat has said that it follows the new table, and what it
// admitted before has ended.
type shift struct {
	seats     int // before the change
	epoch     uint64
	version   uint64 // the first table with the new count
	confirmed map[int]time.Time
	released  map[int]bool
}

func newShift(seats, self int, epoch, version uint64) *shift {
	return &shift{
		seats: seats, epoch: epoch, version: version,
		confirmed: make(map[int]time.Time), released: map[int]bool{self: true},
	}
}

// Resize is a change of the seat count: the count before it, and the first table after it.
type Resize struct {
	OldSeats int
	Epoch    uint64
	Version  uint64
}

// Resizes returns the changes whose units still rest.
func (g *State) Resizes() []Resize {
	var all []Resize
	for _, s := range g.shifts {
		all = append(all, Resize{s.seats, s.epoch, s.version})
	}
	return all
}

// AddResize takes in a change that another process waits for. One that started
// after the change knows of it only so.
func (g *State) AddResize(o Resize) {
	for _, s := range g.shifts {
		if (Resize{s.seats, s.epoch, s.version}) == o {
			return
		}
	}
	if g.isOpened || o.OldSeats == g.seats || o.OldSeats < 1 || o.Epoch > g.epoch || o.Epoch == g.epoch && o.Version > g.version {
		return
	}
	g.shifts = append(g.shifts, newShift(o.OldSeats, g.seat, o.Epoch, o.Version))
	g.changes++
}

// ConfirmTable takes in the table that the holder of a seat has in force.
func (g *State) ConfirmTable(seat int, epoch, version uint64, now time.Time) {
	for _, s := range g.shifts {
		old := epoch < s.epoch || epoch == s.epoch && version < s.version
		if _, known := s.confirmed[seat]; !known && !old {
			s.confirmed[seat] = now
		}
	}
}

// ReleaseUnits lets the units be used that have rested long enough.
func (g *State) ReleaseUnits(now time.Time) {
	var rest []*shift
	for _, s := range g.shifts {
		for seat, since := range s.confirmed {
			if !s.released[seat] && !now.Before(since.Add(g.rules.MaxRequestTime)) {
				s.released[seat] = true
				g.changes++
			}
		}
		if !s.done() {
			rest = append(rest, s)
		}
	}
	g.shifts = rest
}

func (s *shift) done() bool {
	for seat := range s.seats {
		if !s.released[seat] {
			return false
		}
	}
	return true
}

// UnconfirmedSeats returns the seats whose holders have not said that they follow a
// change of the seat count, in rising order.
func (g *State) UnconfirmedSeats() []int {
	var pending []int
	for _, s := range g.shifts {
		for seat := range s.seats {
			if _, known := s.confirmed[seat]; !known && !s.released[seat] {
				pending = append(pending, seat)
			}
		}
	}
	return pending
}
