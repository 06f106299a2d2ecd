package seatstate

// This file defines pendingResize: the hand-over of units when the number of
// seats changes.

import "time"

// pendingResize is one change of the number of seats. A unit that another seat
// held before is used only after that seat's holder has confirmed that it
// follows the new table, and the requests that it admitted before have ended.
type pendingResize struct {
	oldSeats  int
	epoch     uint64
	version   uint64            // with epoch: the first table with the new count
	confirmed map[int]time.Time // when the holder of an old seat confirmed the new table
	released  map[int]bool      // old seats whose units may be used
}

func newPendingResize(oldSeats, self int, epoch, version uint64) *pendingResize {
	return &pendingResize{
		oldSeats: oldSeats, epoch: epoch, version: version,
		confirmed: make(map[int]time.Time), released: map[int]bool{self: true},
	}
}

// Resize is a change of the number of seats: the number before it, and the
// first table after it.
type Resize struct {
	OldSeats int
	Epoch    uint64
	Version  uint64
}

// Resizes returns the changes of which some units are not yet released.
func (s *State) Resizes() []Resize {
	var all []Resize
	for _, r := range s.resizes {
		all = append(all, Resize{r.oldSeats, r.epoch, r.version})
	}
	return all
}

// AddResize records a change of which a peer has not released all units yet. It
// is the only way for a process that started after the change to know of it. A
// change is ignored once the seat may have been used, and if it is newer than the
// table in force or its old number of seats is the current one or below 1.
func (s *State) AddResize(o Resize) {
	for _, r := range s.resizes {
		if (Resize{r.oldSeats, r.epoch, r.version}) == o {
			return
		}
	}
	if s.hasOpened || o.OldSeats == s.seats || o.OldSeats < 1 || o.Epoch > s.epoch || o.Epoch == s.epoch && o.Version > s.version {
		return
	}
	s.resizes = append(s.resizes, newPendingResize(o.OldSeats, s.seat, o.Epoch, o.Version))
	s.generation++
}

// ConfirmTable records the table that the holder of a seat has in force. It
// confirms every resize that is not newer than that table.
func (s *State) ConfirmTable(seat int, epoch, version uint64, now time.Time) {
	for _, r := range s.resizes {
		old := epoch < r.epoch || epoch == r.epoch && version < r.version
		if _, known := r.confirmed[seat]; !known && !old {
			r.confirmed[seat] = now
		}
	}
}

// ReleaseUnits releases the units of each old seat whose holder confirmed the
// new table at least MaxRequestTime ago.
func (s *State) ReleaseUnits(now time.Time) {
	var rest []*pendingResize
	for _, r := range s.resizes {
		for seat, since := range r.confirmed {
			if !r.released[seat] && !now.Before(since.Add(s.timing.MaxRequestTime)) {
				r.released[seat] = true
				s.generation++
			}
		}
		if !r.done() {
			rest = append(rest, r)
		}
	}
	s.resizes = rest
}

// done reports whether the units of all old seats are released.
func (r *pendingResize) done() bool {
	for seat := range r.oldSeats {
		if !r.released[seat] {
			return false
		}
	}
	return true
}

// UnconfirmedSeats returns the old seats whose holders have not confirmed a
// resize, in ascending order for each resize.
func (s *State) UnconfirmedSeats() []int {
	var pending []int
	for _, r := range s.resizes {
		for seat := range r.oldSeats {
			if _, known := r.confirmed[seat]; !known && !r.released[seat] {
				pending = append(pending, seat)
			}
		}
	}
	return pending
}
