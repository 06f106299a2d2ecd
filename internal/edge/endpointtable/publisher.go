// Package endpointtable publishes the endpoints that are registered in the store as
// a table for request routing. Registered endpoints thus go through the same
// picker, queues and limits as those of a published table. The package does no I/O.
package endpointtable

// This file defines Publisher.

import (
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

// epoch is the epoch of all tables that are published here. Their versions count
// up from 1 within the process.
const epoch = 1

// Publisher publishes tables to a holder. It is safe for concurrent use.
type Publisher struct {
	tables      *holder.Holder
	policy      policy.Policy
	ownCentre   string
	centreDelay span.Span // one-way delay between ownCentre and any other one

	mu      sync.Mutex
	version uint64
}

// New returns a publisher for an instance in the data centre ownCentre. All other
// data centres get the same one-way network delay, centreDelay.
func New(tables *holder.Holder, p policy.Policy, ownCentre string, centreDelay span.Span) *Publisher {
	return &Publisher{tables: tables, policy: p, ownCentre: ownCentre, centreDelay: centreDelay}
}

// Publish puts a table of the given endpoints in force. Draining endpoints keep a
// row with weight zero, as do drained data centres. If the table is not valid, Publish returns an error and
// the previous table stays in force.
func (p *Publisher) Publish(all []*registry.Endpoint) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	table := &fleettable.Table{Epoch: epoch, Version: p.version, Policy: &p.policy}
	seen := make(map[string]bool)
	for _, e := range all {
		if !seen[e.Centre] {
			seen[e.Centre] = true
			table.Centres = append(table.Centres, p.centre(e.Centre, e.Drained))
		}
		weight := 1.0
		if e.State == registry.Draining {
			weight = 0
		}
		table.Endpoints = append(table.Endpoints, endpoint.Endpoint{
			Name: e.Name(), Address: e.Address, Centre: e.Centre, Kind: endpoint.Pool, Role: e.Service,
			Weight: weight, RefusalMeansNotRun: true,
		})
	}
	if err := table.Freeze(); err != nil {
		return err
	}
	p.tables.Activate(table)
	return nil
}

func (p *Publisher) centre(name string, drained bool) centre.Centre {
	c := centre.Centre{Name: name, Weight: 1}
	if drained {
		c.Weight = 0
	}
	if name != p.ownCentre {
		c.OneWayDelay = map[string]span.Span{p.ownCentre: p.centreDelay}
	}
	return c
}
