// Package rows writes registered endpoints as rows of the table, so that the
// same picker, queues and limits serve them as serve a published table.
package rows

// This file defines Rows.

import (
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// epoch of all tables written here. Their versions count from the start.
const epoch = 1

// Rows publishes tables. It is safe for concurrent use.
type Rows struct {
	tables *holder.Holder
	policy policy.Policy
	own    string
	far    span.Span

	mu      sync.Mutex
	version uint64
}

// New returns a publisher of tables for an instance in its own data centre,
// with the one-way delay to the others.
func New(tables *holder.Holder, p policy.Policy, own string, far span.Span) *Rows {
	return &Rows{tables: tables, policy: p, own: own, far: far}
}

// Publish puts a table of the endpoints in force. Endpoints that leave keep a
// row with weight zero.
func (r *Rows) Publish(all []*fleet.Endpoint) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	s := &sheet.Sheet{Epoch: epoch, Version: r.version, Policy: &r.policy}
	seen := make(map[string]bool)
	for _, e := range all {
		if !seen[e.Centre] {
			seen[e.Centre] = true
			s.Centres = append(s.Centres, r.centre(e.Centre))
		}
		weight := 1.0
		if !e.Takes() {
			weight = 0
		}
		s.Endpoints = append(s.Endpoints, endpoint.Endpoint{
			Name: e.Name(), Address: e.Address, Centre: e.Centre, Kind: endpoint.Pool, Role: e.Service,
			Weight: weight, Trusted: true,
		})
	}
	if err := s.Freeze(); err != nil {
		return err
	}
	r.tables.Raise(s)
	return nil
}

func (r *Rows) centre(name string) centre.Centre {
	c := centre.Centre{Name: name, Weight: 1}
	if name != r.own {
		c.Far = map[string]span.Span{r.own: r.far}
	}
	return c
}
