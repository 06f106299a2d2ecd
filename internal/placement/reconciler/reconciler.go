// Package reconciler makes model engines hold the models that the table assigns to them:
// it compares the state of the engines with the table and sends orders to those that
// differ. It does I/O.
//
// For each engine, the instances are ranked by a rendezvous hash of their seats. The
// instance that ranks first sends an order as soon as the engine differs. Those that
// rank next also read the engine's state, but send an order only after the engine has
// differed for a time that grows with their rank, for example because the first one is
// down. No agreement between instances is needed: all compute the same orders from the
// same table, so that an order that is sent twice does no harm, and each instance has
// its own time slots of the weight store.
package reconciler

// This file defines Reconciler and its loop.

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
	"github.com/jacinthstile/jacinthstile/internal/placement/engineclient"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
	"github.com/jacinthstile/jacinthstile/internal/placement/timeslot"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const (
	tickInterval        = time.Second
	maxCheckInterval    = 30 * time.Second // also the interval after an engine's state could not be read
	minCheckInterval    = 2 * time.Second  // after the first check of an order; doubled at each further check
	watchersPerEngine   = 3                // number of instances that watch each engine
	maxConcurrentChecks = 4
	maxChecksPerTick    = 4  // bounds the load of checks, however many engines differ
	maxDoublings        = 10 // keeps the doubled check interval from overflowing
)

// Reconciler watches the engines for which the seat of this instance is among the first
// watchersPerEngine in rank. Run does all of its work.
type Reconciler struct {
	tables  *holder.Holder
	seat    int
	leaving func() map[string]bool
	client  *engineclient.Client
	log     logr.Logger

	mu              sync.Mutex
	table           *fleettable.Table         // the table that the fields below were computed from
	engines         map[string]*watchedEngine // by endpoint name
	slots           timeslot.Schedule
	enginesPerModel map[string]int // number of engines that should hold each model
	slotNumber      int64          // slot that slotBytes and slotOrders belong to
	slotBytes       int64          // total size of the orders sent in the slot
	slotOrders      map[string]int // number of orders sent in the slot, by model name
}

// watchedEngine is one engine that this instance watches.
type watchedEngine struct {
	order        plan.Order
	rank         int       // rank of this instance for the engine, 0 to watchersPerEngine-1
	nextCheck    time.Time // when the engine's state is read again
	differsSince time.Time // when the engine was first seen to differ from the order; zero while it does not
	doublings    int       // how often the check interval has been doubled for this order, up to maxDoublings
	reason       plan.Reason
	logged       bool // reason has been logged
}

// New returns a Reconciler for the instance with the given seat. It watches no engine if
// the seat is negative, which means that the instance has none, or not below
// timeslot.MaxSeats. The function leaving returns the names of the endpoints that
// the platform's list of instances marks as leaving; these get no orders.
func New(tables *holder.Holder, seat int, leaving func() map[string]bool, client *engineclient.Client, log logr.Logger) *Reconciler {
	return &Reconciler{
		tables: tables, seat: seat, leaving: leaving, client: client, log: log,
		engines: make(map[string]*watchedEngine), slotOrders: make(map[string]int),
	}
}

// Run checks the engines and sends orders until ctx ends. It must be called only once.
func (r *Reconciler) Run(ctx context.Context) {
	if r.seat < 0 || r.seat >= timeslot.MaxSeats {
		return
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		r.updateTable(time.Now())
		r.checkDue(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateTable computes the orders of the table in force if the table has changed.
// Engines whose order has changed are checked at once.
func (r *Reconciler) updateTable(now time.Time) {
	s := r.tables.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == nil || s == r.table {
		return
	}
	r.table = s
	orders := plan.Orders(s)
	var largest int64
	for _, o := range orders {
		largest = max(largest, o.Bytes)
	}
	r.slots = timeslot.New(s.Policy.Seats, s.Policy.StoreBandwidth, largest)
	r.enginesPerModel = plan.EnginesPerModel(orders)
	seats := seatNames(r.slots.Seats)
	for name := range r.engines {
		if _, ok := orders[name]; !ok {
			r.log.Info("placement order not issued", "endpoint", name, "table", s.Revision().String(), "reason", "the table gives it no work")
			delete(r.engines, name)
		}
	}
	for name, o := range orders {
		r.watch(name, o, rendezvous.Rank(name, strconv.Itoa(r.seat), seats), now)
	}
}

func seatNames(seats int) []string {
	out := make([]string, seats)
	for n := range out {
		out[n] = strconv.Itoa(n)
	}
	return out
}

// watch starts, updates or ends the watch of an engine, for which this instance has
// the given rank. The caller holds r.mu.
func (r *Reconciler) watch(name string, o plan.Order, rank int, now time.Time) {
	if rank >= watchersPerEngine || r.seat >= r.slots.Seats {
		delete(r.engines, name)
		return
	}
	w := r.engines[name]
	if w == nil {
		r.engines[name] = &watchedEngine{order: o, rank: rank, nextCheck: now}
		return
	}
	changed := !w.order.Matches(o.Role, o.Models) || w.order.Address != o.Address
	w.order, w.rank = o, rank
	if changed {
		w.nextCheck, w.differsSince, w.doublings = now, time.Time{}, 0
	}
}

// checkDue checks the engines that are due, maxChecksPerTick at most. Those that have
// been due for the longest time come first.
func (r *Reconciler) checkDue(ctx context.Context) {
	now := time.Now()
	var group errgroup.Group
	group.SetLimit(maxConcurrentChecks)
	for _, w := range r.due(now) {
		group.Go(func() error {
			r.check(ctx, w)
			return nil
		})
	}
	group.Wait()
}

func (r *Reconciler) due(now time.Time) []*watchedEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*watchedEngine
	for _, w := range r.engines {
		if !now.Before(w.nextCheck) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *watchedEngine) int { return a.nextCheck.Compare(b.nextCheck) })
	return out[:min(len(out), maxChecksPerTick)]
}

// check reads the state of one engine and sends it an order if the engine needs one.
func (r *Reconciler) check(ctx context.Context, w *watchedEngine) {
	state, err := r.client.State(ctx, w.order.Address)
	if err != nil {
		r.log.V(1).Info("reading engine state failed", "endpoint", w.order.Endpoint, "reason", err.Error())
		r.mu.Lock()
		w.nextCheck = time.Now().Add(maxCheckInterval)
		r.mu.Unlock()
		return
	}
	order, ok := r.decide(w, state, time.Now())
	if !ok {
		return
	}
	err = r.client.SendOrder(ctx, order)
	var refused *engineclient.StaleOrderError
	switch {
	case errors.As(err, &refused):
		r.log.Info("placement order refused", "endpoint", order.Endpoint, "table", order.At.String(), "reason", "the engine follows a newer order")
	case err != nil:
		r.log.Error(err, "sending placement order failed", "endpoint", order.Endpoint, "table", order.At.String())
	default:
		r.log.Info("placement order sent", "endpoint", order.Endpoint, "table", order.At.String(),
			"role", order.Role, "models", len(order.Models), "bytes", order.Bytes, "rank", w.rank, "reason", plan.Differs.String())
	}
}

// decide records the state of an engine and schedules the next check. It returns the
// order of the engine and whether it must be sent now.
func (r *Reconciler) decide(w *watchedEngine, state plan.State, now time.Time) (plan.Order, bool) {
	leaving := r.leaving()[w.order.Endpoint]
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.order.Matches(state.Role, state.Models) {
		w.differsSince = time.Time{}
	} else if w.differsSince.IsZero() {
		w.differsSince = now
	}
	r.updateSlot(now)
	in := plan.DecisionInput{
		Order: w.order, State: state, Rank: w.rank, InstanceLeaving: leaving,
		SlotAllows:         r.slots.CanStart(now, r.seat, r.slotBytes, w.order.Bytes),
		AvailabilityAllows: r.availabilityAllows(w.order),
	}
	if !w.differsSince.IsZero() {
		in.DiffersFor = now.Sub(w.differsSince)
	}
	reason := plan.Decide(in)
	if reason != plan.Differs && (reason != w.reason || !w.logged) {
		r.log.Info("placement order not issued", "endpoint", w.order.Endpoint, "table", w.order.At.String(), "reason", reason.String())
	}
	w.reason, w.logged = reason, true
	if reason == plan.Differs {
		r.recordSent(w.order)
	}
	w.nextCheck = now.Add(w.checkInterval(reason))
	return w.order, reason == plan.Differs
}

// checkInterval returns the time until the next check. It is short if the order waits
// only for a slot or for the loads of other engines to end. Otherwise it is doubled at
// each call up to maxCheckInterval.
func (w *watchedEngine) checkInterval(reason plan.Reason) time.Duration {
	if reason == plan.NoStoreSlot || reason == plan.TooManyLoading {
		return tickInterval
	}
	d := min(minCheckInterval<<w.doublings, maxCheckInterval)
	w.doublings = min(w.doublings+1, maxDoublings)
	return d
}

// updateSlot resets the counts of sent orders if a new slot has begun. The caller
// holds r.mu.
func (r *Reconciler) updateSlot(now time.Time) {
	if n := r.slots.SlotNumber(now); n != r.slotNumber {
		r.slotNumber, r.slotBytes = n, 0
		clear(r.slotOrders)
	}
}

// availabilityAllows reports whether an order can be sent without exceeding, for any
// of its models, the share of engines that the table allows to load at once. The first
// order of a slot for each model is always allowed, since a model with few engines
// could otherwise never be changed. The caller holds r.mu.
func (r *Reconciler) availabilityAllows(o plan.Order) bool {
	for _, m := range o.Models {
		limit := max(1, int(r.table.Policy.MaxUnavailable*float64(r.enginesPerModel[m.Name])))
		if r.slotOrders[m.Name] >= limit {
			return false
		}
	}
	return true
}

// recordSent counts an order against the current slot. The caller holds r.mu.
func (r *Reconciler) recordSent(o plan.Order) {
	r.slotBytes += o.Bytes
	for _, m := range o.Models {
		r.slotOrders[m.Name]++
	}
}
