package keeper

// This file keeps the shares of accounts, in shards with a lock each.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
	"github.com/jacinthstile/jacinthstile/internal/limit/usage"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
)

const (
	shards     = 32
	forgetIdle = time.Minute
)

type shard struct {
	mu       sync.Mutex
	accounts map[string]*standing
}

// standing is one account at this seat.
type standing struct {
	share  *usage.Usage
	cap    count
	tokens count
	met    map[int]refusals // of the holders of other seats
	lender map[bool]int     // the seat that lent last; true for a token of the rate
}

// count is how many of an account's units this seat may use, and the state for
// which they were counted.
type count struct {
	units   int
	changes uint64
	here    int
}

// locked runs f with the standing of an account under its lock.
func (k *Keeper) locked(name string, f func(*standing)) {
	s := &k.shards[xxhash.Sum64String(name)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.accounts[name]
	if st == nil {
		st = &standing{share: usage.New(), met: make(map[int]refusals), lender: make(map[bool]int)}
		s.accounts[name] = st
	}
	f(st)
}

// row returns the account's row in the table in force, which alone decides
// what this seat holds, or nil.
func (k *Keeper) row(name string) *account.Account {
	if t := k.tables.Current(); t != nil {
		return t.Account(name)
	}
	return nil
}

// here returns how many of an account's units this seat may use now. It is
// zero while the seat is closed.
func (k *Keeper) here(c *count, name string, units int, now time.Time) (n int, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.gate.Open(now) {
		return 0, false
	}
	if c.units != units || c.changes != k.gate.Generation() {
		*c = count{units: units, changes: k.gate.Generation(), here: k.gate.Units(name, units)}
	}
	return c.here, true
}

func (k *Keeper) takeOwn(name string, now time.Time) (taken bool) {
	row := k.row(name)
	if row == nil {
		return false
	}
	k.locked(name, func(st *standing) {
		n, open := k.here(&st.cap, name, row.Cap, now)
		taken = open && st.share.Acquire(n, now)
	})
	return taken
}

func (k *Keeper) giveOwn(name string) {
	k.locked(name, func(st *standing) { st.share.Release(time.Now()) })
}

func (k *Keeper) drawOwn(name string, now time.Time) (drawn bool) {
	row := k.row(name)
	if row == nil {
		return false
	}
	k.locked(name, func(st *standing) { drawn, _ = k.draw(st, row, now) })
	return drawn
}

// draw spends a token of this seat. It reports whether there was one, and how
// many units of the rate the seat holds.
func (k *Keeper) draw(st *standing, row *account.Account, now time.Time) (drawn bool, here int) {
	all := assignment.RateUnits(row.Rate)
	here, open := k.here(&st.tokens, row.Name, all, now)
	if !open {
		return false, 0
	}
	return st.share.TakeToken(row.Rate*float64(here)/float64(all), here, k.start, now), here
}

// forget drops the standings that say no more than new ones would.
func (k *Keeper) forget(now time.Time) {
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for name, st := range s.accounts {
			if st.share.Idle(now, forgetIdle) {
				delete(s.accounts, name)
			}
		}
		s.mu.Unlock()
	}
}

// InUse returns how many units of an account this seat uses and has lent.
func (k *Keeper) InUse(account string) (own, lent int) {
	k.locked(account, func(st *standing) { own, lent = st.share.InUse() })
	return own, lent
}
