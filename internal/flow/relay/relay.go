// Package relay takes calls to plain services.
package relay

// This file defines Relay and Order.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
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
	Call       client.ServiceCall
}

// Relay sends orders to the endpoints of their service.
type Relay struct {
	tables     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	client     *client.Client
	budget     *retry.Budget
	log        logr.Logger
	scope      tally.Scope
}

// New returns a relay that draws retries from budget.
func New(t *holder.Holder, d *dispatcher.Dispatcher, c *client.Client, budget *retry.Budget, log logr.Logger, scope tally.Scope) *Relay {
	return &Relay{tables: t, dispatcher: d, client: c, budget: budget, log: log, scope: scope}
}

// tries is what the attempts at an order have come to.
type tries struct {
	tried []string
	ran   bool          // an attempt may have run
	reply *client.Reply // the last whole answer, an error of the service's own
	last  error         // of the last attempt that got an endpoint, or of the first that got none
}

// Run sends an order. A non-idempotent one is sent again only where no byte of
// it left, or where a trusted endpoint says that it did not run. An answer of
// the service's own is returned whole, whatever its status. The error is a
// *fault.Fault.
func (r *Relay) Run(ctx context.Context, o Order) (client.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, o.Call.Deadline)
	defer cancel()
	p := r.tables.Current().Policy
	r.budget.RecordFirstAttempt(retry.Shares{Retry: p.Retry, Hedge: p.Hedge})
	var t tries
	for attempt := 1; attempt <= mostAttempts; attempt++ {
		reply, safe, err := r.attempt(ctx, o, attempt, &t)
		if err == nil && (reply.Status < http.StatusInternalServerError || !o.Idempotent) {
			return reply, nil
		}
		if err == nil {
			t.reply = &reply
		}
		t.fail(safe, err)
		if !r.mayRetry(ctx, o, safe, err) {
			break
		}
	}
	if t.reply != nil {
		return *t.reply, nil
	}
	return client.Reply{}, faultOf(ctx, t.ran, t.last)
}

func (t *tries) fail(safe bool, err error) {
	t.ran = t.ran || !safe
	var refusal *dispatcher.Refusal
	if t.last == nil || !errors.As(err, &refusal) {
		t.last = err
	}
}

// mayRetry reports whether one more attempt may follow. What has not run costs no budget.
func (r *Relay) mayRetry(ctx context.Context, o Order, safe bool, err error) bool {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil || errors.As(err, &refusal):
		return false
	case safe:
		return true
	default:
		return o.Idempotent && r.budget.AllowRetry()
	}
}

// attempt sends an order once. It reports whether the order is known not to have run.
func (r *Relay) attempt(ctx context.Context, o Order, attempt int, t *tries) (reply client.Reply, safe bool, err error) {
	lease, err := r.dispatcher.Acquire(ctx, dispatcher.Ask{
		Request: o.Call.RequestID, Account: o.Account, Stage: o.Service, Attempt: attempt,
		Query:  picker.Query{Role: o.Service, Tried: t.tried},
		Latest: o.Call.Deadline,
	})
	if err != nil {
		return reply, true, err
	}
	call := o.Call
	call.NonIdempotent = !o.Idempotent
	call.BeforeSend = lease.Check
	if !lease.Endpoint.Keyed {
		call.IdempotencyKey = ""
	}
	start := time.Now()
	reply, err = r.client.CallService(ctx, lease.Endpoint.Address, call)
	if call.IdempotencyKey != "" && failure.KindOf(err) == failure.Lost && ctx.Err() == nil {
		reply, err = r.again(ctx, lease.Endpoint, call, err)
	}
	res := endpointstats.Result{Took: time.Since(start)}
	switch {
	case err != nil:
		res.Kind = failure.KindOf(err)
	case reply.Status >= http.StatusInternalServerError:
		res.Kind = failure.Errored
	}
	lease.Done(res)
	t.tried = append(t.tried, lease.Endpoint.Name)
	if err != nil {
		r.log.Info("attempt failed", "request", call.RequestID, "stage", o.Service, "attempt", attempt,
			"endpoint", lease.Endpoint.Name, "kind", res.Kind.String(), "error", err.Error())
		r.scope.Tagged(map[string]string{"stage": o.Service}).Counter("failed_" + res.Kind.String()).Inc(1)
	}
	return reply, err != nil && isSafe(lease.Endpoint, err), err
}

// again asks an endpoint that remembers keys for an answer that was lost. Where
// that fails too, the first failure stands, as the call may have run.
func (r *Relay) again(ctx context.Context, e *endpoint.Endpoint, call client.ServiceCall, lost error) (client.Reply, error) {
	r.log.Info("asking again by key", "request", call.RequestID, "endpoint", e.Name, "error", lost.Error())
	reply, err := r.client.CallService(ctx, e.Address, call)
	if err != nil {
		return client.Reply{}, lost
	}
	return reply, nil
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
	var refusal *dispatcher.Refusal
	isRefusal := errors.As(last, &refusal)
	switch {
	case !ran && ctx.Err() != nil:
		return fault.Wrap(code.NoTime, last, "before the call was sent")
	case !ran && isRefusal && refusal.Busy:
		f := fault.Wrap(code.Overloaded, last, "the call was not sent")
		f.After = refusal.After
		return f
	case !ran && failure.KindOf(last) == failure.Refused:
		return fault.Wrap(code.EndpointRefused, last, "the call did not run")
	case !ran:
		return fault.Wrap(code.NoEndpoint, last, "the call was not sent")
	case ctx.Err() != nil:
		return fault.Wrap(code.DeadlineOver, last, "after the call was sent")
	default:
		return fault.Wrap(code.AnswerLost, last, "after the call was sent")
	}
}
