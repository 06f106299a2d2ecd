// Package usage counts how many of the units of one account's limits that one
// seat holds are in use, lent to peers or spent. It starts no goroutines, does
// no locking and reads no clock: callers serialise access and pass the time.
package usage

// This file defines Usage.

import (
	"time"

	"golang.org/x/time/rate"
)

// earlyReturnRetention is how long a return is remembered that was handled
// before the request for its permit. This order occurs when a paused process
// resumes and finds both messages waiting.
const earlyReturnRetention = 10 * time.Second

// Usage is the use of one account's units at one seat.
type Usage struct {
	own        int                  // units in use by requests of this process
	lent       map[uint64]time.Time // expiry of the lent units, by permit
	returned   map[uint64]time.Time // when permits were returned that had not been lent yet
	bucket     *rate.Limiter        // token bucket; nil until the rate is used
	refillTime time.Duration        // from an empty bucket to a full one
	lastUsed   time.Time
}

// New returns a Usage with no unit in use and no unit lent.
func New() *Usage {
	return &Usage{lent: make(map[uint64]time.Time), returned: make(map[uint64]time.Time)}
}

// Acquire takes one of the seat's units for a request of this process. The seat
// holds the given number of units. It reports false if none of them is free.
func (u *Usage) Acquire(units int, now time.Time) bool {
	if !u.hasFree(units, now) {
		return false
	}
	u.own++
	return true
}

// Release ends what Acquire began.
func (u *Usage) Release(now time.Time) {
	u.own--
	u.lastUsed = now
}

// Lend lends one of the seat's units to a peer until the given time. It reports
// false if none is free. It is idempotent: a permit that is lent already keeps
// its unit and takes no second one, and one that has expired is not lent again. A permit whose return was handled first is
// not lent, because no further return of it will arrive.
func (u *Usage) Lend(permit uint64, units int, until, now time.Time) bool {
	if lentUntil, known := u.lent[permit]; known {
		return now.Before(lentUntil)
	}
	if _, back := u.returned[permit]; back || !u.hasFree(units, now) {
		return false
	}
	u.lent[permit] = until
	return true
}

// Return takes a lent unit back before it expires.
func (u *Usage) Return(permit uint64, now time.Time) {
	u.lastUsed = now
	if _, known := u.lent[permit]; known {
		delete(u.lent, permit)
		return
	}
	for p, at := range u.returned {
		if now.Sub(at) >= earlyReturnRetention {
			delete(u.returned, p)
		}
	}
	u.returned[permit] = now
}

func (u *Usage) hasFree(units int, now time.Time) bool {
	u.lastUsed = now
	if u.own+len(u.lent) < units {
		return true
	}
	for permit, until := range u.lent {
		if !now.Before(until) {
			delete(u.lent, permit)
		}
	}
	return u.own+len(u.lent) < units
}

// TakeToken takes a token from the bucket that holds the seat's part of the
// rate, and reports false if it has none. The part is in requests per second,
// the burst in requests. The bucket is empty at since, the start of the
// process, because the previous holder of the seat may have spent all tokens
// up to then.
func (u *Usage) TakeToken(part float64, burst int, since, now time.Time) bool {
	u.lastUsed = now
	if burst < 1 || part <= 0 {
		return false
	}
	if u.bucket == nil {
		u.bucket = rate.NewLimiter(rate.Limit(part), burst)
		u.bucket.AllowN(since, burst)
	}
	if u.bucket.Limit() != rate.Limit(part) || u.bucket.Burst() != burst {
		u.bucket.SetLimitAt(now, rate.Limit(part))
		u.bucket.SetBurstAt(now, burst)
	}
	u.refillTime = time.Duration(float64(burst) / part * float64(time.Second))
	return u.bucket.AllowN(now, 1)
}

// InUse returns how many units are in use by this process and how many are lent
// to peers. Expired loans count until their units are needed.
func (u *Usage) InUse() (own, lent int) { return u.own, len(u.lent) }

// Idle reports whether the Usage can be discarded: no unit is in use or lent,
// and it has not been used for the given time nor for as long as its bucket
// takes to refill, so that a new Usage would allow no more requests.
func (u *Usage) Idle(now time.Time, after time.Duration) bool {
	return u.own == 0 && len(u.lent) == 0 && now.Sub(u.lastUsed) >= max(after, u.refillTime)
}
