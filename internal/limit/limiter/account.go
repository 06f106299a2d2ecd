package limiter

// This file stores the state of each account, in shards with a lock each.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
	"github.com/jacinthstile/jacinthstile/internal/limit/usage"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
)

const (
	shards        = 32
	idleRetention = time.Minute // the state of an account is kept at least this long after its last use
)

type shard struct {
	mu       sync.Mutex
	accounts map[string]*accountState
}

// accountState is the state of one account at this seat.
type accountState struct {
	usage      *usage.Usage
	cap        unitCount
	tokens     unitCount
	busy       map[int]busyStreak // holders of other seats that had nothing to lend, by borrower.key
	lastLender map[bool]int       // the seat that lent last; the key is true for a token of the rate
}

// unitCount caches how many of an account's units this seat may use, with the
// inputs for which they were counted.
type unitCount struct {
	units      int
	generation uint64
	usable     int
}

// withAccount runs f with the state of an account, holding the lock of its shard.
func (l *Limiter) withAccount(name string, f func(*accountState)) {
	s := &l.shards[xxhash.Sum64String(name)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.accounts[name]
	if st == nil {
		st = &accountState{usage: usage.New(), busy: make(map[int]busyStreak), lastLender: make(map[bool]int)}
		s.accounts[name] = st
	}
	f(st)
}

// row returns the account's row in the table in force, or nil. Only this row
// decides how many units this seat holds.
func (l *Limiter) row(name string) *account.Account {
	if t := l.tables.Current(); t != nil {
		return t.Account(name)
	}
	return nil
}

// usableUnits returns how many of an account's units this seat may use now. It
// is zero while the seat is closed.
func (l *Limiter) usableUnits(c *unitCount, name string, units int, now time.Time) (n int, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seat.Open(now) {
		return 0, false
	}
	if c.units != units || c.generation != l.seat.Generation() {
		*c = unitCount{units: units, generation: l.seat.Generation(), usable: l.seat.Units(name, units)}
	}
	return c.usable, true
}

func (l *Limiter) acquireLocal(name string, now time.Time) (acquired bool) {
	row := l.row(name)
	if row == nil {
		return false
	}
	l.withAccount(name, func(st *accountState) {
		n, open := l.usableUnits(&st.cap, name, row.Cap, now)
		acquired = open && st.usage.Acquire(n, now)
	})
	return acquired
}

func (l *Limiter) releaseLocal(name string) {
	l.withAccount(name, func(st *accountState) { st.usage.Release(time.Now()) })
}

func (l *Limiter) takeLocalToken(name string, now time.Time) (taken bool) {
	row := l.row(name)
	if row == nil {
		return false
	}
	l.withAccount(name, func(st *accountState) { taken, _ = l.spendToken(st, row, now) })
	return taken
}

// spendToken takes a token from this seat's bucket. It reports whether there was
// one, and how many units of the rate the seat may use. The caller holds the
// lock of the account's shard.
func (l *Limiter) spendToken(st *accountState, row *account.Account, now time.Time) (taken bool, usable int) {
	all := assignment.RateUnits(row.Rate)
	usable, open := l.usableUnits(&st.tokens, row.Name, all, now)
	if !open {
		return false, 0
	}
	return st.usage.TakeToken(row.Rate*float64(usable)/float64(all), usable, l.start, now), usable
}

// dropIdle removes the accounts whose state equals that of an unused account.
func (l *Limiter) dropIdle(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, st := range s.accounts {
			if st.usage.Idle(now, idleRetention) {
				delete(s.accounts, name)
			}
		}
		s.mu.Unlock()
	}
}

// InUse returns how many units of an account this process uses and has lent.
func (l *Limiter) InUse(account string) (own, lent int) {
	l.withAccount(account, func(st *accountState) { own, lent = st.usage.InUse() })
	return own, lent
}
