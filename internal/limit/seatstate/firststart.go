package seatstate

// This file defines firstStart: the agreement of all processes that the fleet
// starts for the first time. No earlier process can then still be using a seat,
// so the processes need not wait for the quiet period.

import "time"

// firstStart is what the holders of the other seats have answered about a first start.
type firstStart struct {
	denied bool         // some holder knows of an earlier process
	agreed map[int]bool // seats whose holders take part in the first start
}

// confirmed reports whether the holders of all other seats agree. With a single
// seat there are no other holders to ask, so a first start is never confirmed and
// the process waits for the quiet period.
func (f *firstStart) confirmed(self, seats int) bool {
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

// RecordFirstStart records the answer of the holder of another seat: whether it
// takes part in a first start and has met no other process in this seat. A
// single denial is final.
func (s *State) RecordFirstStart(seat int, agrees bool) {
	if !agrees {
		s.firstStart.denied = true
		return
	}
	if s.firstStart.agreed == nil {
		s.firstStart.agreed = make(map[int]bool)
	}
	s.firstStart.agreed[seat] = true
}

// InFirstStart reports whether this process takes part in a first start: it
// started less than the quiet period ago and no holder has denied it. A process
// that opens its seat early has been recorded by the holders of all other
// seats, which therefore deny the first start to a process that replaces it.
func (s *State) InFirstStart(now time.Time) bool {
	return s.seat >= 0 && !s.firstStart.denied && within(s.start, s.timing.QuietPeriod, now)
}

// AwaitsFirstStart reports whether a first start is possible and some holder has
// yet to agree, so that all holders should be asked.
func (s *State) AwaitsFirstStart(now time.Time) bool {
	return s.InFirstStart(now) && !s.firstStart.confirmed(s.seat, s.seats)
}
