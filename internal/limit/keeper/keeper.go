// Package keeper holds client accounts to their rate and their cap of requests
// in flight over the whole fleet.
package keeper

// This file defines Keeper.

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
)

// Keeper gives this instance's fixed share of each account's limits.
type Keeper struct {
	seat int // -1 for none

	mu       sync.Mutex
	accounts map[string]*usage
}

type usage struct {
	inFlight int
	limiter  *rate.Limiter
	rate     float64
}

// New returns a keeper for the given seat.
func New(seat int) *Keeper {
	return &Keeper{seat: seat, accounts: make(map[string]*usage)}
}

// Take counts a request of the account as in flight until give is called.
// The error is a *fault.Fault of class "not run".
func (k *Keeper) Take(_ context.Context, a *account.Account, seats int) (give func(), err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	u := k.usage(a, seats)
	if a.Cap > 0 && u.inFlight >= share(a.Cap, k.seat, seats) {
		return nil, fault.New(code.CapReached, "account %s", a.Name)
	}
	if a.Rate > 0 && !u.limiter.Allow() {
		return nil, fault.New(code.RateLimited, "account %s", a.Name)
	}
	u.inFlight++
	return sync.OnceFunc(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		u.inFlight--
	}), nil
}

func (k *Keeper) usage(a *account.Account, seats int) *usage {
	u := k.accounts[a.Name]
	if u == nil {
		u = &usage{limiter: rate.NewLimiter(0, 1)}
		k.accounts[a.Name] = u
	}
	if want := a.Rate / float64(seats); u.rate != want {
		u.rate = want
		u.limiter.SetLimit(rate.Limit(want))
	}
	return u
}

// share returns the part of cap that a seat holds; the parts of all seats add up to cap.
func share(limit, seat, seats int) int {
	if seat < 0 || seat >= seats {
		return 0
	}
	n := limit / seats
	if seat < limit%seats {
		n++
	}
	return n
}
