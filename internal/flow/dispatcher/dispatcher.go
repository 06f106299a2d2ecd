// Package dispatcher gives calls their endpoints. A call whose endpoints are
// all at their limits waits, fair between client accounts and ordered by
// deadline, and is refused at once when it can't start in time.
package dispatcher

// This file defines Dispatcher, Ask and the choice of an endpoint.

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Ask describes the call that needs an endpoint.
type Ask struct {
	Request string
	Account string
	Stage   string // or the plain service
	Attempt int
	Query   picker.Query // its Now is set by the dispatcher
	Latest  time.Time    // last moment at which the call is worth to start
	NoWait  bool         // refuse instead of waiting
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	tables *holder.Holder
	picker *picker.Picker
	board  *endpointstats.Tracker
	most   int // calls that wait for one role and model
	log    logr.Logger
	scope  tally.Scope

	mu    sync.Mutex
	gates map[key]*gate
}

// key names the calls that compete for the same endpoints.
type key struct{ role, model string }

// New returns a dispatcher that lets at most most calls wait for one role and model.
func New(t *holder.Holder, p *picker.Picker, b *endpointstats.Tracker, most int, log logr.Logger, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		tables: t, picker: p, board: b, most: most, log: log, scope: scope,
		gates: make(map[key]*gate),
	}
}

// Acquire returns a lease on the endpoint of a call, waiting where all are
// full. The error is a *Refusal; nothing has been sent then.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Lease, error) {
	g := d.gate(key{a.Query.Role, a.Query.Model})
	if g.waiting() == 0 {
		if lease, full, err := d.try(a); !full {
			return lease, err
		}
	}
	if a.NoWait {
		return nil, &Refusal{Busy: true, Reason: "all endpoints are full"}
	}
	return d.wait(ctx, g, a)
}

// Wait predicts how long a new call of an account would wait for a role and model.
func (d *Dispatcher) Wait(role, model, account string) time.Duration {
	g := d.gate(key{role, model})
	if g.waiting() == 0 {
		return 0
	}
	return g.wait(account, weightOf(d.tables.Current(), account))
}

// try picks an endpoint. It reports full when a call may wait for one.
func (d *Dispatcher) try(a Ask) (lease *Lease, full bool, err error) {
	table := d.tables.Current()
	a.Query.Now = time.Now()
	choice := d.picker.Pick(table, a.Query)
	switch {
	case choice.Endpoint != nil:
	case choice.Full:
		return nil, true, nil
	default:
		return nil, false, &Refusal{Reason: choice.Reason.String()}
	}
	return d.lease(a, table, choice), false, nil
}

// Take returns a lease on the endpoint of a name that was chosen elsewhere, or
// nil where it may get no new work.
func (d *Dispatcher) Take(a Ask, name string) *Lease {
	table := d.tables.Current()
	if !picker.Allowed(table, d.board, name) {
		return nil
	}
	a.Query.Now = time.Now()
	return d.lease(a, table, picker.Choice{Endpoint: table.Endpoint(name), Reason: picker.Reason{Code: picker.ByCoordinator}})
}

func (d *Dispatcher) lease(a Ask, table *sheet.Sheet, choice picker.Choice) *Lease {
	d.board.Start(choice.Endpoint.Name, a.Query.Now)
	if d.log.Enabled() {
		d.log.Info("routing", "request", a.Request, "account", a.Account, "stage", a.Stage,
			"attempt", a.Attempt, "endpoint", choice.Endpoint.Name, "reason", choice.Reason.String(),
			"epoch", table.Epoch, "version", table.Version)
	}
	return &Lease{Endpoint: choice.Endpoint, Load: choice.Load, Ground: choice.Reason.String(), start: a.Query.Now, dispatcher: d}
}

func weightOf(s *sheet.Sheet, account string) float64 {
	if row := s.Account(account); row != nil && row.Weight > 0 {
		return row.Weight
	}
	return 1
}
