// Package relay takes calls to plain services.
package relay

// This file defines Relay.

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const mostAttempts = 3

// Order is one call to a plain service.
type Order struct {
	Account    string
	Service    string
	Idempotent bool
	Call       client.Plain
}

// Relay sends orders to the endpoints of their service.
type Relay struct {
	tables *holder.Holder
	picker *picker.Picker
	board  *board.Board
	client *client.Client
	log    logr.Logger
}

// New returns a relay.
func New(t *holder.Holder, p *picker.Picker, b *board.Board, c *client.Client, log logr.Logger) *Relay {
	return &Relay{tables: t, picker: p, board: b, client: c, log: log}
}

// Run sends an order. A non-idempotent one is sent again only where no byte of
// it left, or where a trusted endpoint says that it did not run. The error is
// a *fault.Fault.
func (r *Relay) Run(ctx context.Context, o Order) (client.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, o.Call.Deadline)
	defer cancel()
	var tried []string
	var last error
	ran := false
	for attempt := 1; attempt <= mostAttempts; attempt++ {
		table := r.tables.Current()
		choice := r.picker.Pick(table, picker.Query{Role: o.Service, Tried: tried, Now: time.Now()})
		if choice.Endpoint == nil {
			if last == nil {
				last = failure.New(failure.Unsent, nil, "%s", choice.Reason.String())
			}
			break
		}
		r.log.Info("routing", "request", o.Call.Request, "account", o.Account, "stage", o.Service,
			"attempt", attempt, "endpoint", choice.Endpoint.Name, "reason", choice.Reason.String(),
			"epoch", table.Epoch, "version", table.Version)
		reply, err := r.attempt(ctx, choice.Endpoint, o)
		if err == nil {
			return reply, nil
		}
		last = err
		safe := isSafe(choice.Endpoint, err)
		ran = ran || !safe
		if ctx.Err() != nil || !safe && !o.Idempotent {
			break
		}
		tried = append(tried, choice.Endpoint.Name)
	}
	return client.Reply{}, faultOf(ctx, ran, last)
}

func (r *Relay) attempt(ctx context.Context, e *endpoint.Endpoint, o Order) (client.Reply, error) {
	call := o.Call
	if !e.Keyed {
		call.Key = ""
	}
	start := time.Now()
	r.board.Start(e.Name, start)
	reply, err := r.client.Plain(ctx, e.Address, call)
	now := time.Now()
	r.board.Done(e.Name, board.Result{Took: now.Sub(start), Kind: kindOf(err)}, now)
	if err != nil {
		r.log.Info("attempt failed", "request", call.Request, "stage", o.Service,
			"endpoint", e.Name, "kind", failure.KindOf(err).String(), "error", err.Error())
	}
	return reply, err
}

// kindOf returns zero for success.
func kindOf(err error) failure.Kind {
	if err == nil {
		return 0
	}
	return failure.KindOf(err)
}

// isSafe reports whether a failed attempt is known not to have run.
func isSafe(e *endpoint.Endpoint, err error) bool {
	switch failure.KindOf(err) {
	case failure.Unsent:
		return true
	case failure.Refused:
		return e.Trusted
	default:
		return false
	}
}

func faultOf(ctx context.Context, ran bool, last error) error {
	switch {
	case !ran && ctx.Err() != nil:
		return fault.Wrap(code.NoTime, last, "before the call was sent")
	case !ran:
		return fault.Wrap(code.NoEndpoint, last, "the call was not sent")
	case ctx.Err() != nil:
		return fault.Wrap(code.DeadlineOver, last, "after the call was sent")
	case failure.KindOf(last) == failure.Errored:
		return fault.Wrap(code.StageFailed, last, "the service answered with an error")
	default:
		return fault.Wrap(code.AnswerLost, last, "after the call was sent")
	}
}
