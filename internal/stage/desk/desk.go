// Package desk hands what calls need before they can run to the instance that
// gathers, and turns to another one where that fails.
package desk

// This file defines Desk and the way of one order.

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/proof"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/witness"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/gatherer"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/storelag"
)

const mostLeaders = 3 // instances that one order is handed to, one after the other

// Desk is a proxy.Stager. It is safe for concurrent use.
type Desk struct {
	self     string
	local    *gatherer.Gatherer
	election *election.Election
	mesh     *mesh.Mesh
	fit      func() bool
	reaches  func() bool
	lag      *storelag.Detector
	proof    *proof.Proof
	witness  *witness.Witness
	revision func() uint64 // up to which this instance knows the store
	history  *history.History
	log      logr.Logger

	asked sync.Map // addresses with a question under way

	mu      sync.Mutex
	leader  string
	begun   chan struct{} // closed once this instance has settled
	settled func()
	remotes map[string]*remote // by address
}

var _ proxy.Stager = (*Desk)(nil)

// State is what instances tell each other of themselves.
type State struct {
	Fit      func() bool // whether this instance can gather for others
	Reaches  func() bool // whether it reaches the endpoints of stages; others may be better placed
	Proof    *proof.Proof
	Revision func() uint64    // up to which this instance knows the store
	History  *history.History // of the changes that it knows
	Witness  *witness.Witness // is told the proofs of the instance that gathers
}

// New returns a desk of the instance that peers reach at address self. It
// registers the desk's handlers with the mesh.
func New(self string, local *gatherer.Gatherer, e *election.Election, m *mesh.Mesh, s State, log logr.Logger) *Desk {
	d := &Desk{
		self: self, local: local, election: e, mesh: m, fit: s.Fit, reaches: s.Reaches, lag: storelag.New(), proof: s.Proof,
		witness: s.Witness, revision: s.Revision, history: s.History, log: log, remotes: make(map[string]*remote), begun: make(chan struct{}),
	}
	d.settled = sync.OnceFunc(func() { close(d.begun) })
	d.handle()
	return d
}

// Prepare makes the inputs of a call and chooses its engine.
func (d *Desk) Prepare(ctx context.Context, r proxy.Round) (proxy.Prepared, error) {
	if err := d.awaitSettled(ctx); err != nil {
		return proxy.Prepared{}, err
	}
	for range mostLeaders {
		leader := d.election.Leader(time.Now())
		if leader == d.self {
			break
		}
		p, err := d.ask(ctx, d.remote(leader), r)
		if err == nil || !lost(err) || ctx.Err() != nil {
			return p, err
		}
		d.log.Info("gathering instance lost", "request", r.Call.ID, "leader", leader, "reason", err.Error())
	}
	return d.own(ctx, r)
}

// awaitSettled waits until this instance has settled, for as long as that
// should take at most.
func (d *Desk) awaitSettled(ctx context.Context) error {
	select {
	case <-d.begun:
		return nil
	default:
	}
	timer := time.NewTimer(settle)
	defer timer.Stop()
	select {
	case <-d.begun:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// own has this instance gather.
func (d *Desk) own(ctx context.Context, r proxy.Round) (proxy.Prepared, error) {
	o := orderOf(r)
	ready, err := d.local.Order(ctx, o)
	if err != nil {
		d.local.Ended([]string{o.ID})
		return proxy.Prepared{}, err
	}
	return proxy.Prepared{
		Inputs: ready.Handles, Prefer: ready.Engine,
		Started: func() { d.local.Started([]string{o.ID}) },
		Ended:   func() { d.local.Ended([]string{o.ID}) },
	}, nil
}

func orderOf(r proxy.Round) gatherer.Order {
	c := r.Call
	o := gatherer.Order{ID: nameOf(r), Request: c.ID, Service: c.Service, Prompt: c.Prompt, Tried: r.Tried}
	if c.Staged() {
		o.Job = job.New(o.ID, c.ID, c.Key, c.Route.Stages, c.Pieces, c.Urgency(), c.Goal, c.Deadline)
	}
	return o
}

// nameOf returns the id of an order: news of one round says nothing of another.
func nameOf(r proxy.Round) string { return r.Call.ID + "." + strconv.Itoa(r.Number) }
