// Package desk hands what calls need before they can run to the instance that
// gathers, and turns to another one where that fails.
package desk

// This file defines Desk and the way of one order.

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/gatherer"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const mostLeaders = 3 // instances that one order is handed to, one after the other

// Desk is a proxy.Stager. It is safe for concurrent use.
type Desk struct {
	self     string
	local    *gatherer.Gatherer
	election *election.Election
	mesh     *mesh.Mesh
	fit      func() bool
	log      logr.Logger

	mu      sync.Mutex
	leader  string
	remotes map[string]*remote // by address
}

var _ proxy.Stager = (*Desk)(nil)

// New returns a desk of the instance that peers reach at address self. The
// function says whether this instance can gather for others. It registers the
// desk's handlers with the mesh.
func New(self string, local *gatherer.Gatherer, e *election.Election, m *mesh.Mesh, fit func() bool, log logr.Logger) *Desk {
	d := &Desk{
		self: self, local: local, election: e, mesh: m, fit: fit, log: log, remotes: make(map[string]*remote),
	}
	d.handle()
	return d
}

// Prepare makes the inputs of a call and chooses its engine.
func (d *Desk) Prepare(ctx context.Context, c *call.Call, tried []string) (proxy.Prepared, error) {
	for range mostLeaders {
		leader := d.election.Leader(time.Now())
		if leader == d.self {
			break
		}
		p, err := d.ask(ctx, d.remote(leader), c, tried)
		if err == nil || !lost(err) || ctx.Err() != nil {
			return p, err
		}
		d.log.Info("gathering instance lost", "request", c.ID, "leader", leader, "reason", err.Error())
	}
	return d.own(ctx, c, tried)
}

// own has this instance gather.
func (d *Desk) own(ctx context.Context, c *call.Call, tried []string) (proxy.Prepared, error) {
	ready, err := d.local.Order(ctx, orderOf(c, tried))
	if err != nil {
		d.local.Ended([]string{c.ID})
		return proxy.Prepared{}, err
	}
	return d.ownPrepared(c.ID, ready), nil
}

func (d *Desk) ownPrepared(id string, r gatherer.Ready) proxy.Prepared {
	return proxy.Prepared{
		Inputs: r.Handles, Prefer: r.Engine,
		Started: func() { d.local.Started([]string{id}) },
		Ended:   func() { d.local.Ended([]string{id}) },
		Lost: func(ctx context.Context) (proxy.Prepared, error) {
			again, err := d.local.Remake(ctx, id)
			return d.ownPrepared(id, again), err
		},
	}
}

func orderOf(c *call.Call, tried []string) gatherer.Order {
	o := gatherer.Order{ID: c.ID, Service: c.Service, Prompt: c.Prompt, Tried: tried}
	if c.Staged() {
		o.Job = job.New(c.ID, c.Key, c.Route.Stages, c.Pieces, c.Rank, c.Goal, c.Deadline)
	}
	return o
}
