// Package share counts the use of the units that one seat holds of one
// account's limits. It has no goroutines and no clock.
package usage

// This file defines Share.

import (
	"time"

	"golang.org/x/time/rate"
)

// keepEnded is how long a return is remembered that came before its loan, as
// happens when a paused process wakes and finds both.
const keepEnded = 10 * time.Second

// Usage is what is in use here and what is lent to peers.
type Usage struct {
	own     int
	lent    map[uint64]time.Time // when the unit is taken back, by permit
	ended   map[uint64]time.Time // when permits came back that were not lent yet
	limiter *rate.Limiter        // nil until the rate is used
	refill  time.Duration        // from no token to all
	touched time.Time
}

// New returns a share of which nothing is in use.
func New() *Usage {
	return &Usage{lent: make(map[uint64]time.Time), ended: make(map[uint64]time.Time)}
}

// Acquire uses one of the given number of units, and reports false if none is free.
func (s *Usage) Acquire(units int, now time.Time) bool {
	if !s.hasFree(units, now) {
		return false
	}
	s.own++
	return true
}

// Release ends what Take began.
func (s *Usage) Release(now time.Time) {
	s.own--
	s.touched = now
}

// Lend gives one of the units to a peer until a time, and reports false if
// none is free. A permit that is lent already is lent no second time, and one
// whose return overtook it is not lent.
func (s *Usage) Lend(permit uint64, units int, until, now time.Time) bool {
	if _, known := s.lent[permit]; known {
		return true
	}
	if _, back := s.ended[permit]; back || !s.hasFree(units, now) {
		return false
	}
	s.lent[permit] = until
	return true
}

// Return takes a lent unit back before its time.
func (s *Usage) Return(permit uint64, now time.Time) {
	s.touched = now
	if _, known := s.lent[permit]; known {
		delete(s.lent, permit)
		return
	}
	for p, at := range s.ended {
		if now.Sub(at) >= keepEnded {
			delete(s.ended, p)
		}
	}
	s.ended[permit] = now
}

func (s *Usage) hasFree(units int, now time.Time) bool {
	s.touched = now
	if s.own+len(s.lent) < units {
		return true
	}
	for permit, until := range s.lent {
		if !now.Before(until) {
			delete(s.lent, permit)
		}
	}
	return s.own+len(s.lent) < units
}

// TakeToken spends a token of the seat's part of the rate, and reports false if
// there is none. The part is given in requests a second, with its burst. The
// tokens start from none at since, the start of the process, as its
// predecessor may have spent all until then.
func (s *Usage) TakeToken(part float64, burst int, since, now time.Time) bool {
	s.touched = now
	if burst < 1 || part <= 0 {
		return false
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(part), burst)
		s.limiter.AllowN(since, burst)
	}
	if s.limiter.Limit() != rate.Limit(part) || s.limiter.Burst() != burst {
		s.limiter.SetLimitAt(now, rate.Limit(part))
		s.limiter.SetBurstAt(now, burst)
	}
	s.refill = time.Duration(float64(burst) / part * float64(time.Second))
	return s.limiter.AllowN(now, 1)
}

// InUse returns how many units are used here and how many are lent.
func (s *Usage) InUse() (own, lent int) { return s.own, len(s.lent) }

// Idle reports whether the share may be dropped: nothing is in use, and it was
// not touched for so long that its tokens are whole.
func (s *Usage) Idle(now time.Time, after time.Duration) bool {
	return s.own == 0 && len(s.lent) == 0 && now.Sub(s.touched) >= max(after, s.refill)
}
