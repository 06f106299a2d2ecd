// Package keeper holds client accounts to their rate and their cap of requests
// in flight over the whole fleet. The units of a limit belong to seats; a
// process without a free unit of its own borrows one from the holder of another
// seat. docs/design/limits.md says why no cap is passed.
package keeper

// This file defines Keeper and what callers ask of it.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/limit/seatstate"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	isolated   = 3 * probeEvery  // a seat is used this long after the last answer of a witness
	slack      = time.Second     // a request may end this long after its deadline
	margin     = 2 * time.Second // for clocks of different rate, and for a table on its way
	retryAfter = time.Second     // told to callers that met a limit
)

// Caller sends calls to peers, as *mesh.Mesh does.
type Caller interface {
	Call(ctx context.Context, address string, k kind.Kind, in, out proto.Message) (identity.Identity, error)
}

// Finder returns the peer address of the holder of a seat, and false where none is known.
type Finder func(seat int) (address string, ok bool)

// Keeper is one process's part in keeping the limits.
type Keeper struct {
	self   identity.Identity
	quiet  time.Duration
	tables *holder.Holder
	peers  Caller
	find   Finder
	log    logr.Logger
	start  time.Time
	gives  sync.WaitGroup // permits on their way back

	mu      sync.Mutex
	gate    *seatstate.State
	epoch   uint64 // of the table that the gate follows
	version uint64
	newest  map[int]uint64 // latest incarnation known, by seat

	followed map[int]bool // seats in which more than one incarnation was met
	open     bool         // as last logged

	shards [shards]shard
}

// New returns a keeper that uses the seat of self after a quiet period, or
// after the longest deadline of the table where that is longer. A quiet period
// of zero is for a fleet that starts with no process before it.
func New(self identity.Identity, quiet time.Duration, t *holder.Holder, peers Caller, find Finder, log logr.Logger) *Keeper {
	now := time.Now()
	k := &Keeper{
		self: self, quiet: quiet, tables: t, peers: peers, find: find, log: log, start: now,
		gate:   seatstate.New(self.Seat, self.Incarnation, now),
		newest: make(map[int]uint64), followed: make(map[int]bool),
	}
	for i := range k.shards {
		k.shards[i].accounts = make(map[string]*standing)
	}
	t.Watch(k.adopt)
	if s := t.Current(); s != nil {
		k.adopt(s)
	}
	return k
}

func (k *Keeper) adopt(s *sheet.Sheet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Epoch == k.epoch && s.Version == k.version {
		return
	}
	k.epoch, k.version = s.Epoch, s.Version
	k.gate.SetTable(s.Policy.Seats, s.Epoch, s.Version, rulesOf(s, k.quiet), time.Now())
}

// rulesOf derives the periods from the longest deadline of a table: what an
// isolated process admitted has ended before its replacement uses the seat.
func rulesOf(s *sheet.Sheet, quiet time.Duration) seatstate.Timing {
	var longest time.Duration
	for _, p := range s.Pipelines {
		longest = max(longest, p.Deadline.Duration())
	}
	for _, v := range s.Services {
		longest = max(longest, v.Deadline.Duration())
	}
	longest += slack + margin
	if quiet > 0 {
		quiet = max(quiet, longest+isolated)
	}
	return seatstate.Timing{QuietPeriod: quiet, MaxRequestTime: longest, IsolationTimeout: isolated}
}

// Take counts a request of the account as in flight until give is called. The
// request must have ended at its deadline. The error is a *fault.Fault of
// class "not run".
func (k *Keeper) Take(ctx context.Context, a *account.Account, deadline time.Time) (give func(), err error) {
	if row := k.row(a.Name); row != nil {
		a = row
	}
	give = func() {}
	if a.Cap > 0 {
		if give, err = k.takeUnit(ctx, a, deadline); err != nil {
			return nil, err
		}
	}
	if a.Rate > 0 {
		if err := k.takeToken(ctx, a, deadline); err != nil {
			give()
			return nil, err
		}
	}
	return give, nil
}

func (k *Keeper) takeUnit(ctx context.Context, a *account.Account, deadline time.Time) (func(), error) {
	if k.takeOwn(a.Name, time.Now()) {
		return sync.OnceFunc(func() { k.giveOwn(a.Name) }), nil
	}
	permit := rand.Uint64()
	l := &loan{keeper: k, account: a.Name, permit: permit, deadline: deadline}
	address, refusal := l.borrow(ctx)
	if address == "" {
		return nil, faultOf(refusal, code.CapReached, a.Name)
	}
	return sync.OnceFunc(func() { k.giveBack(address, a.Name, permit) }), nil
}

func (k *Keeper) takeToken(ctx context.Context, a *account.Account, deadline time.Time) error {
	if k.drawOwn(a.Name, time.Now()) {
		return nil
	}
	l := &loan{keeper: k, account: a.Name, permit: rand.Uint64(), deadline: deadline, token: true}
	if address, refusal := l.borrow(ctx); address == "" {
		return faultOf(refusal, code.RateLimited, a.Name)
	}
	return nil
}

// faultOf says that a limit is met, or that it is in doubt where some holder
// that may have had room was not asked or could not lend.
func faultOf(r refusal, met code.Code, account string) error {
	f := fault.New(met, "account %s", account)
	if r.doubt != "" {
		f = fault.New(code.LimitUnavailable, "account %s: %s", account, r.doubt)
	}
	f.After = retryAfter
	return f
}

// Wait returns when the permits that were borrowed here have been given back,
// or have been lost on the way and will expire.
func (k *Keeper) Wait() { k.gives.Wait() }
