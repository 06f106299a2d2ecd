// Package limiter enforces the rate and the cap on requests in flight of client
// accounts over the whole fleet, without shared writes. Each limit is split into
// units, and each unit belongs to exactly one seat: a numbered slot that one
// instance holds. A process with no free unit in its own seat borrows one from
// the holder of another seat by a call to that peer. The methods of Limiter may
// be called from any goroutine; Acquire may do network I/O.
//
// A cap is never exceeded, because no two requests use one unit at the same time:
//   - Only the process that holds a seat uses the seat's units or lends them.
//   - A lent unit is marked as lent before the borrower may use it. It becomes
//     free only when the borrower returns it or its time has expired.
//   - A process that replaces the holder of a seat uses the seat's units only
//     after a quiet period, or once the holders of all other seats have confirmed
//     that the fleet starts for the first time. The quiet period covers the time
//     after which an isolated holder closes its seat plus the longest request.
//   - When the number of seats changes, a unit that moves to another seat is used
//     there only after the requests of its previous holder have ended.
//
// While it is uncertain whether a unit is still used, it is not used: this costs
// capacity, but does not exceed the cap.
package limiter

// This file defines Limiter and its interface to callers.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/limit/seatstate"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const (
	isolationTimeout = 3 * probeInterval // the seat is closed when no call to a peer sent within this time was answered
	deadlineSlack    = time.Second       // a request may end this long after its deadline
	clockMargin      = 2 * time.Second   // allows for clocks that run at different rates and for the time to distribute a new table
	retryAfter       = time.Second       // sent to clients that are refused
)

// PeerCaller calls peers, as *transport.Transport does.
type PeerCaller interface {
	Call(ctx context.Context, address string, m method.Method, in, out proto.Message) (identity.Identity, error)
}

// Finder returns the peer address of the holder of a seat, or false if none is known.
type Finder func(seat int) (address string, ok bool)

// Limiter enforces the limits at one process, together with its peers.
type Limiter struct {
	self        identity.Identity
	quietPeriod time.Duration
	tables      *holder.Holder
	peers       PeerCaller
	find        Finder
	log         logr.Logger
	start       time.Time
	returns     sync.WaitGroup // permits that are being returned to their lenders

	mu      sync.Mutex
	seat    *seatstate.State
	epoch   uint64 // with version: the table that seat follows
	version uint64
	newest  map[int]uint64 // newest known incarnation by seat

	replaced map[int]bool // seats in which more than one incarnation has been seen
	open     bool         // whether the seat was open when this was last checked for the log

	shards [shards]shard
}

// New returns a Limiter that uses the seat of self after the quiet period, or
// after the time that a request admitted by a previous, isolated holder of the
// seat can still run, if that is longer. A quiet period of zero is for a fleet
// that starts with no process before it.
func New(self identity.Identity, quietPeriod time.Duration, t *holder.Holder, peers PeerCaller, find Finder, log logr.Logger) *Limiter {
	now := time.Now()
	l := &Limiter{
		self: self, quietPeriod: quietPeriod, tables: t, peers: peers, find: find, log: log, start: now,
		seat:   seatstate.New(self.Seat, self.Incarnation, now),
		newest: make(map[int]uint64), replaced: make(map[int]bool),
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*accountState)
	}
	t.Watch(l.setTable)
	if s := t.Current(); s != nil {
		l.setTable(s)
	}
	return l
}

func (l *Limiter) setTable(table *fleettable.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if table.Epoch == l.epoch && table.Version == l.version {
		return
	}
	l.epoch, l.version = table.Epoch, table.Version
	l.seat.SetTable(table.Policy.Seats, table.Epoch, table.Version, timingOf(table, l.quietPeriod), time.Now())
}

// timingOf derives the timing from the longest deadline of a table. The quiet
// period covers the time that an isolated process still uses its seat plus the
// longest run of what it admitted, so that all of it has ended before the
// replacement uses the seat.
func timingOf(table *fleettable.Table, quietPeriod time.Duration) seatstate.Timing {
	var longest time.Duration
	for _, p := range table.Pipelines {
		longest = max(longest, p.Deadline.Duration())
	}
	for _, v := range table.Services {
		longest = max(longest, v.Deadline.Duration())
	}
	longest += deadlineSlack + clockMargin
	if quietPeriod > 0 {
		quietPeriod = max(quietPeriod, longest+isolationTimeout)
	}
	return seatstate.Timing{QuietPeriod: quietPeriod, MaxRequestTime: longest, IsolationTimeout: isolationTimeout}
}

// Acquire admits a request of the account: it counts as in flight until release
// is called and takes a token of the account's rate. The request must have
// ended at its deadline. The error is a *fault.Fault of class "not run".
func (l *Limiter) Acquire(ctx context.Context, a *account.Account, deadline time.Time) (release func(), err error) {
	if row := l.row(a.Name); row != nil {
		a = row
	}
	release = func() {}
	if a.Cap > 0 {
		if release, err = l.acquireUnit(ctx, a, deadline); err != nil {
			return nil, err
		}
	}
	if a.Rate > 0 {
		if err := l.takeToken(ctx, a, deadline); err != nil {
			release()
			return nil, err
		}
	}
	return release, nil
}

func (l *Limiter) acquireUnit(ctx context.Context, a *account.Account, deadline time.Time) (func(), error) {
	if l.acquireLocal(a.Name, time.Now()) {
		return sync.OnceFunc(func() { l.releaseLocal(a.Name) }), nil
	}
	permit := rand.Uint64()
	b := &borrower{limiter: l, account: a.Name, permit: permit, deadline: deadline}
	address, refusal := b.borrow(ctx)
	if address == "" {
		return nil, faultOf(refusal, code.CapReached, a.Name)
	}
	return sync.OnceFunc(func() { l.returnPermit(address, a.Name, permit) }), nil
}

func (l *Limiter) takeToken(ctx context.Context, a *account.Account, deadline time.Time) error {
	if l.takeLocalToken(a.Name, time.Now()) {
		return nil
	}
	b := &borrower{limiter: l, account: a.Name, permit: rand.Uint64(), deadline: deadline, token: true}
	if address, refusal := b.borrow(ctx); address == "" {
		return faultOf(refusal, code.RateLimited, a.Name)
	}
	return nil
}

// faultOf returns the fault with the code reached if the account's limit is
// reached. If a holder that may have had a free unit was not asked or could not
// lend, this is not certain, and the code is LimitUnavailable.
func faultOf(r refusal, reached code.Code, account string) error {
	f := fault.New(reached, "account %s", account)
	if r.uncertainty != "" {
		f = fault.New(code.LimitUnavailable, "account %s: %s", account, r.uncertainty)
	}
	f.RetryAfter = retryAfter
	return f
}

// Wait returns when all permits that were borrowed and released here have been
// returned to their lenders, or returning them has failed and they will expire.
func (l *Limiter) Wait() { l.returns.Wait() }
