// Package issuer tells model engines what the table wants them to hold.
//
// For each engine the seats are ranked by rendezvous hash. The first seat orders
// at once; the next ones read the engine's state too, and order only if it
// differs for long. Two that order send the same, so that nothing needs to be
// agreed on, and each has its own slots of the weight store.
package issuer

// This file defines Issuer and its loop.

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthstile/jacinthstile/internal/peer/neighbour"
	"github.com/jacinthstile/jacinthstile/internal/placement/engine"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
	"github.com/jacinthstile/jacinthstile/internal/placement/slot"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	tickEvery    = time.Second
	checkEvery   = 30 * time.Second // engines that hold what is wanted
	confirmAfter = 2 * time.Second  // after an order, doubled at each check
	ranks        = 3                // issuers that watch each engine
	checksAtOnce = 4
	checksATick  = 4  // bounds what watching costs, however many engines differ
	mostChecks   = 10 // that are counted
)

// Issuer watches the engines for which one seat ranks high.
type Issuer struct {
	tables  *holder.Holder
	seat    int
	leaving func() map[string]bool
	client  *engine.Client
	log     logr.Logger

	mu      sync.Mutex
	table   *sheet.Sheet
	engines map[string]*watched // by endpoint name
	clock   slot.Clock
	groups  map[string]int
	number  int64          // of the slot that the next two are of
	used    int64          // bytes of the orders started in it
	started map[string]int // of them, by model name
}

// watched is one engine that this issuer watches.
type watched struct {
	order  plan.Order
	rank   int
	next   time.Time // when its state is read again
	since  time.Time // when it was first seen to differ; zero while it does not
	checks int       // since the order was sent or changed, at most mostChecks
	reason plan.Reason
	logged bool // reason was logged
}

// New returns an issuer for a seat, or one that issues nothing for a seat below
// zero. Leaving names the endpoints whose instance is leaving.
func New(tables *holder.Holder, seat int, leaving func() map[string]bool, client *engine.Client, log logr.Logger) *Issuer {
	return &Issuer{
		tables: tables, seat: seat, leaving: leaving, client: client, log: log,
		engines: make(map[string]*watched), started: make(map[string]int),
	}
}

// Run watches the engines until ctx ends.
func (i *Issuer) Run(ctx context.Context) {
	if i.seat < 0 || i.seat >= slot.Issuers {
		return
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		i.follow(time.Now())
		i.checkDue(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// follow takes over the table in force. Engines whose order changed are checked at once.
func (i *Issuer) follow(now time.Time) {
	s := i.tables.Current()
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == nil || s == i.table {
		return
	}
	i.table = s
	orders := plan.Of(s)
	var largest int64
	for _, o := range orders {
		largest = max(largest, o.Bytes)
	}
	i.clock = slot.New(s.Policy.Seats, s.Policy.Store, largest)
	i.groups = plan.Groups(orders)
	seats := namesOf(i.clock.Seats)
	for name := range i.engines {
		if _, ok := orders[name]; !ok {
			i.log.Info("no placement order", "endpoint", name, "table", s.Revision().String(), "reason", "the table gives it no work")
			delete(i.engines, name)
		}
	}
	for name, o := range orders {
		i.adopt(name, o, neighbour.Rank(name, strconv.Itoa(i.seat), seats), now)
	}
}

func namesOf(seats int) []string {
	out := make([]string, seats)
	for n := range out {
		out[n] = strconv.Itoa(n)
	}
	return out
}

// adopt watches an engine for which this seat ranks high. The caller holds i.mu.
func (i *Issuer) adopt(name string, o plan.Order, rank int, now time.Time) {
	if rank >= ranks || i.seat >= i.clock.Seats {
		delete(i.engines, name)
		return
	}
	w := i.engines[name]
	if w == nil {
		i.engines[name] = &watched{order: o, rank: rank, next: now}
		return
	}
	changed := !w.order.Same(o.Role, o.Models) || w.order.Address != o.Address
	w.order, w.rank = o, rank
	if changed {
		w.next, w.since, w.checks = now, time.Time{}, 0
	}
}

// checkDue checks the engines that have been due for longest, a bounded number.
func (i *Issuer) checkDue(ctx context.Context) {
	now := time.Now()
	var group errgroup.Group
	group.SetLimit(checksAtOnce)
	for _, w := range i.due(now) {
		group.Go(func() error {
			i.check(ctx, w)
			return nil
		})
	}
	group.Wait()
}

func (i *Issuer) due(now time.Time) []*watched {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []*watched
	for _, w := range i.engines {
		if !now.Before(w.next) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *watched) int { return a.next.Compare(b.next) })
	return out[:min(len(out), checksATick)]
}

// check reads the state of one engine and orders what it lacks.
func (i *Issuer) check(ctx context.Context, w *watched) {
	state, err := i.client.State(ctx, w.order.Address)
	if err != nil {
		i.log.V(1).Info("engine state not read", "endpoint", w.order.Endpoint, "reason", err.Error())
		i.mu.Lock()
		w.next = time.Now().Add(checkEvery)
		i.mu.Unlock()
		return
	}
	order, ok := i.decide(w, state, time.Now())
	if !ok {
		return
	}
	err = i.client.Order(ctx, order)
	var refused *engine.Refused
	switch {
	case errors.As(err, &refused):
		i.log.Info("placement order refused", "endpoint", order.Endpoint, "table", order.At.String(), "reason", "the engine follows a newer order")
	case err != nil:
		i.log.Error(err, "placement order not sent", "endpoint", order.Endpoint, "table", order.At.String())
	default:
		i.log.Info("placement order", "endpoint", order.Endpoint, "table", order.At.String(),
			"role", order.Role, "models", len(order.Models), "bytes", order.Bytes, "rank", w.rank, "reason", plan.Differs.String())
	}
}

// decide notes what an engine holds and returns the order to send, if any.
func (i *Issuer) decide(w *watched, state plan.State, now time.Time) (plan.Order, bool) {
	leaving := i.leaving()[w.order.Endpoint]
	i.mu.Lock()
	defer i.mu.Unlock()
	if w.order.Same(state.Role, state.Models) {
		w.since = time.Time{}
	} else if w.since.IsZero() {
		w.since = now
	}
	i.turn(now)
	s := plan.Situation{
		Order: w.order, State: state, Rank: w.rank, Leaving: leaving,
		Slot: i.clock.Fits(now, i.seat, i.used, w.order.Bytes),
		Room: i.room(w.order),
	}
	if !w.since.IsZero() {
		s.Since = now.Sub(w.since)
	}
	reason := plan.Decide(s)
	if reason != plan.Differs && (reason != w.reason || !w.logged) {
		i.log.Info("no placement order", "endpoint", w.order.Endpoint, "table", w.order.At.String(), "reason", reason.String())
	}
	w.reason, w.logged = reason, true
	if reason == plan.Differs {
		i.start(w.order)
	}
	w.next = now.Add(w.pause(reason))
	return w.order, reason == plan.Differs
}

// pause returns how long to wait before the next check, and counts this one.
func (w *watched) pause(reason plan.Reason) time.Duration {
	if reason == plan.Paced || reason == plan.Capacity {
		return tickEvery
	}
	d := min(confirmAfter<<w.checks, checkEvery)
	w.checks = min(w.checks+1, mostChecks)
	return d
}

// turn forgets what was started in an earlier slot. The caller holds i.mu.
func (i *Issuer) turn(now time.Time) {
	if n := i.clock.Number(now); n != i.number {
		i.number, i.used = n, 0
		clear(i.started)
	}
}

// room reports whether starting an order keeps the share of engines of each of
// its models that the table demands. The first of a slot is always let through.
// The caller holds i.mu.
func (i *Issuer) room(o plan.Order) bool {
	for _, m := range o.Models {
		most := max(1, int(i.table.Policy.Away*float64(i.groups[m.Name])))
		if i.started[m.Name] >= most {
			return false
		}
	}
	return true
}

func (i *Issuer) start(o plan.Order) {
	i.used += o.Bytes
	for _, m := range o.Models {
		i.started[m.Name]++
	}
}
