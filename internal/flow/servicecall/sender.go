// Package servicecall sends requests to plain services, which are services that are called
// directly and not as a stage of a pipeline. It retries failed attempts as far as this is
// safe: a non-idempotent request is never run twice. Retries of requests that may have
// run are limited by a retry budget, so that they do not multiply the load when
// endpoints fail.
package servicecall

// This file defines Sender and Request.

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

const maxAttempts = 3 // attempts at one request, the first one included

// Request is one request to a plain service.
type Request struct {
	Account    string
	Service    string
	Idempotent bool
	Call       client.ServiceCall
}

// Sender sends requests to the endpoints of their service. It is safe for concurrent use.
type Sender struct {
	tables     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	client     *client.Client
	budget     *retry.Budget
	log        logr.Logger
	scope      tally.Scope
}

// New returns a sender that takes its retries from budget.
func New(t *holder.Holder, d *dispatcher.Dispatcher, c *client.Client, budget *retry.Budget, log logr.Logger, scope tally.Scope) *Sender {
	return &Sender{tables: t, dispatcher: d, client: c, budget: budget, log: log, scope: scope}
}

// attempts is the state of the attempts at one request.
type attempts struct {
	tried   []string      // names of the endpoints that the request was sent to
	ran     bool          // an attempt may have run
	reply   *client.Reply // the last complete reply with an error status; nil if there was none
	lastErr error         // error of the last attempt that got an endpoint, or of the first attempt if none got one
}

// Send sends a request and returns the service's reply, whatever its status. A failed
// attempt is retried if the request is known not to have run: no byte of it was sent, or
// a trusted endpoint reported that it did not run it. An idempotent request is also
// retried after any other failure and after a reply with a 5xx status, as far as the
// retry budget allows. The error is a *fault.Fault.
func (s *Sender) Send(ctx context.Context, req Request) (client.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	p := s.tables.Current().Policy
	s.budget.RecordFirstAttempt(retry.Shares{Retry: p.Retry, Hedge: p.Hedge})
	var a attempts
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		reply, notRun, err := s.attempt(ctx, req, attempt, &a)
		if err == nil && (reply.Status < http.StatusInternalServerError || !req.Idempotent) {
			return reply, nil
		}
		if err == nil {
			a.reply = &reply
		}
		a.recordFailure(notRun, err)
		if !s.mayRetry(ctx, req, notRun, err) {
			break
		}
	}
	if a.reply != nil {
		return *a.reply, nil
	}
	return client.Reply{}, faultOf(ctx, a.ran, a.lastErr)
}

func (a *attempts) recordFailure(notRun bool, err error) {
	a.ran = a.ran || !notRun
	var refusal *dispatcher.Refusal
	if a.lastErr == nil || !errors.As(err, &refusal) {
		a.lastErr = err
	}
}

// mayRetry reports whether one more attempt may follow a failed one. A retry takes from
// the retry budget unless the failed attempt is known not to have run.
func (s *Sender) mayRetry(ctx context.Context, req Request, notRun bool, err error) bool {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil || errors.As(err, &refusal):
		return false
	case notRun:
		return true
	default:
		return req.Idempotent && s.budget.AllowRetry()
	}
}

// attempt makes one attempt at a request. If it fails, notRun reports whether the request
// is known not to have run.
func (s *Sender) attempt(ctx context.Context, req Request, attempt int, a *attempts) (reply client.Reply, notRun bool, err error) {
	lease, err := s.dispatcher.Acquire(ctx, dispatcher.Call{
		RequestID: req.Call.RequestID, Account: req.Account, Stage: req.Service, Attempt: attempt,
		Query:       picker.Query{Role: req.Service, Tried: a.tried},
		LatestStart: req.Call.Deadline,
	})
	if err != nil {
		return reply, true, err
	}
	call := req.Call
	call.NonIdempotent = !req.Idempotent
	call.BeforeSend = lease.Check
	if !lease.Endpoint.SupportsIdempotencyKeys {
		call.IdempotencyKey = ""
	}
	start := time.Now()
	reply, err = s.client.CallService(ctx, lease.Endpoint.Address, call)
	if call.IdempotencyKey != "" && failure.KindOf(err) == failure.Lost && ctx.Err() == nil {
		reply, err = s.resendWithKey(ctx, lease.Endpoint, call, err)
	}
	res := endpointstats.Result{Elapsed: time.Since(start)}
	switch {
	case err != nil:
		res.Kind = failure.KindOf(err)
	case reply.Status >= http.StatusInternalServerError:
		res.Kind = failure.Errored
	}
	lease.Done(res)
	a.tried = append(a.tried, lease.Endpoint.Name)
	if err != nil {
		s.log.Info("attempt failed", "request", call.RequestID, "stage", req.Service, "attempt", attempt,
			"endpoint", lease.Endpoint.Name, "kind", res.Kind.String(), "error", err.Error())
		s.scope.Tagged(map[string]string{"stage": req.Service}).Counter("failed_" + res.Kind.String()).Inc(1)
	}
	return reply, err != nil && isNotRun(lease.Endpoint, err), err
}

// resendWithKey sends a call whose response was lost to the same endpoint once more. The
// endpoint recognises the call by its idempotency key, so that it does not run twice, and
// repeats the response. If this fails as well, the first error is returned, because the
// call may have run.
func (s *Sender) resendWithKey(ctx context.Context, e *endpoint.Endpoint, call client.ServiceCall, lost error) (client.Reply, error) {
	s.log.Info("response lost; sending the call to the same endpoint again with its idempotency key", "request", call.RequestID, "endpoint", e.Name, "error", lost.Error())
	reply, err := s.client.CallService(ctx, e.Address, call)
	if err != nil {
		return client.Reply{}, lost
	}
	return reply, nil
}

// isNotRun reports whether a failed attempt is known not to have run.
func isNotRun(e *endpoint.Endpoint, err error) bool {
	switch failure.KindOf(err) {
	case failure.Unsent:
		return true
	case failure.Refused:
		return e.RefusalMeansNotRun
	default:
		return false
	}
}

// faultOf returns the fault of a request that failed. Its code depends on whether an
// attempt may have run.
func faultOf(ctx context.Context, ran bool, lastErr error) error {
	var refusal *dispatcher.Refusal
	isRefusal := errors.As(lastErr, &refusal)
	switch {
	case !ran && ctx.Err() != nil:
		return fault.Wrap(code.NoTime, lastErr, "before the call was sent")
	case !ran && isRefusal && refusal.Busy:
		f := fault.Wrap(code.Overloaded, lastErr, "the call was not sent")
		f.RetryAfter = refusal.RetryAfter
		return f
	case !ran && failure.KindOf(lastErr) == failure.Refused:
		return fault.Wrap(code.EndpointRefused, lastErr, "the call did not run")
	case !ran:
		return fault.Wrap(code.NoEndpoint, lastErr, "the call was not sent")
	case ctx.Err() != nil:
		return fault.Wrap(code.DeadlineOver, lastErr, "after the call was sent")
	default:
		return fault.Wrap(code.AnswerLost, lastErr, "after the call was sent")
	}
}
