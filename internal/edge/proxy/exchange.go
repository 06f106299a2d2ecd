package proxy

// This file defines exchange: the attempts and retries of one request.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/answer"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/protocol"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/edge/sequence"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
)

// exchange is the state of one request while it is served.
type exchange struct {
	*Proxy
	request       *request.Request
	answer        *answer.Answer
	blocks        []uint64 // prefix cache blocks of the prompt
	prepared      Prepared
	prepareRounds int                // calls of Prepare
	tried         []string           // names of endpoints that failed or refused the request
	sends         int                // sends, including those that failed or were refused
	possibleRuns  int                // failed sends after which the request may have run
	unconnected   int                // sends for which there was no connection
	mayHaveRun    bool               // whether the request may have run on any endpoint
	crashed       bool               // whether an endpoint crashed while it ran the request
	known         quarantine.Subject // zero before the first call of subject
	sequence      *sequence.Sequence
	origin        origin.Origin      // of the events that the caller holds; zero if it holds none
	began         *registry.Endpoint // wrote the first event that the caller got in this answer; nil if the caller held one already
	bound         bool               // the caller holds events, so that only an endpoint of the origin may go on
	recorded      bool               // whether a retry budget has the request as a first attempt, here or at another instance
	waiting       context.Context    // ends when the request may not be sent any more
	awaitAll      func()             // lifts the limit that a stop of this instance sets to the time for the answer
}

// faultOf returns the fault of a request that ended with an error. Whatever came up later, one that
// may have run is not said not to have run.
func (x *exchange) faultOf(err error) *fault.Fault {
	f := fault.From(err)
	if x.mayHaveRun && f.Code.Class() == class.NotRun {
		return fault.Wrap(code.AnswerLost, f, "not repeated")
	}
	return f
}

// run serves the request here, or has another instance serve it if this one has no path to its
// service.
func (x *exchange) run(ctx context.Context) error {
	if x.request.TakesUp() {
		if err := x.bindToOrigin(x.waiting); err != nil {
			return err
		}
	}
	if x.isCutOff() {
		if done, err := x.relay(ctx); done {
			return err
		}
	}
	err := x.runHere(ctx)
	if err != nil && x.mayRelay(ctx, err) && x.hasRoomToRelay() {
		if done, relayErr := x.relay(ctx); done {
			return relayErr
		}
	}
	return err
}

// runHere prepares the request if it is a stream, or held back, so that it can only be a trial. It
// makes attempts until one decides how the request ends.
func (x *exchange) runHere(ctx context.Context) error {
	if (x.bound || x.request.Centres != nil) && len(x.endpoints()) == 0 {
		return x.noneLeftFault()
	}
	if x.isStream() || x.isHeld() {
		if err := x.prepare(); err != nil {
			return err
		}
		defer func() { x.prepared.Ended() }()
	}
	x.recordFirstAttempt()
	for {
		retry, err := x.attempt(ctx)
		if !retry {
			return err
		}
	}
}

// recordFirstAttempt records the first attempt of the request, unless an instance has recorded it already.
func (x *exchange) recordFirstAttempt() {
	if !x.recorded {
		x.retryBudget.RecordFirstAttempt(x.request.Service)
		x.recorded = true
	}
}

// prepare has the inputs produced and an endpoint chosen, and ends the previous
// preparation if there was one.
func (x *exchange) prepare() error {
	prepared, err := x.preparer.Prepare(x.waiting, PrepareParams{Request: x.request, Round: x.prepareRounds, Tried: x.tried, Version: x.origin.Version})
	x.prepareRounds++
	if err != nil {
		return err
	}
	if x.prepareRounds > 1 {
		x.prepared.Ended()
	}
	x.prepared = prepared
	return nil
}

// attempt sends the request to one endpoint. It reports whether to make another
// attempt. If not, err says how the request ended.
func (x *exchange) attempt(ctx context.Context) (retry bool, err error) {
	left := time.Until(x.request.Deadline)
	if left < minTimeLeft {
		return false, x.deadlineFault()
	}
	if x.isHeld() {
		return false, x.heldFault()
	}
	lease, err := x.acquireLease()
	if err != nil {
		return false, x.acquireFault(err)
	}
	endpoint := x.index().ByName(lease.Endpoint.Name)
	if endpoint == nil || lease.Check() != nil {
		lease.Cancel()
		return x.retryOrFail("endpoint left", false)
	}
	if !x.mayGoOn(endpoint) {
		lease.Cancel()
		return false, x.noneLeftFault()
	}
	if x.isHeld() { // by now
		lease.Cancel()
		return false, x.heldFault()
	}
	if x.endangersService(lease) {
		lease.Cancel()
		return false, x.riskFault()
	}
	if x.waiting.Err() != nil {
		lease.Cancel()
		return false, x.waiting.Err()
	}
	x.sends++
	return x.send(ctx, lease, endpoint)
}

// acquireLease gets a lease on an endpoint, preferably the one that was chosen by
// the preparation. It waits for a free endpoint until the request's goal, or for
// a quarter of the remaining time if the goal has passed.
func (x *exchange) acquireLease() (*dispatcher.Lease, error) {
	latest := x.request.Goal
	if now := time.Now(); latest.Before(now) {
		latest = now.Add(time.Until(x.request.Deadline) / 4)
	}
	call := dispatcher.Call{
		RequestID: x.request.ID, Account: x.request.Account, Stage: x.request.Service, Attempt: x.sends,
		Query:       picker.Query{Role: x.request.Service, Blocks: x.blocks, Tried: x.tried, AllowTried: true},
		LatestStart: latest,
	}
	if x.bound || x.request.Centres != nil {
		if call.Query.Only = namesOf(x.endpoints()); len(call.Query.Only) == 0 {
			return nil, x.noneLeftFault()
		}
	}
	if x.prepared.PreferredEndpoint != "" && !slices.Contains(x.tried, x.prepared.PreferredEndpoint) && x.mayGoOn(x.index().ByName(x.prepared.PreferredEndpoint)) {
		if lease := x.dispatcher.AcquireNamed(call, x.prepared.PreferredEndpoint, x.prepared.Permitted); lease != nil {
			return lease, nil
		}
	}
	if limited := x.limitedEndpoints(); len(limited) > 0 {
		return x.acquireLimited(x.waiting, call, limited)
	}
	return x.dispatcher.Acquire(x.waiting, call)
}

// acquireFault returns the fault of a request for which the dispatcher gave no
// lease. Errors other than a refusal are returned as they are.
func (x *exchange) acquireFault(err error) error {
	var r *dispatcher.Refusal
	var limited *fault.Fault
	isLimited := errors.As(err, &limited)
	if !isLimited && !errors.As(err, &r) {
		return err
	}
	if x.mayHaveRun {
		return fault.Wrap(code.AnswerLost, err, "no endpoint for another attempt")
	}
	if isLimited {
		return limited
	}
	c := code.NoEndpoint
	if r.Busy {
		c = code.Overloaded
	}
	f := fault.Wrap(c, err, "service %s", x.request.Service)
	f.RetryAfter = max(defaultRetryAfter, r.RetryAfter)
	return f
}

// deadlineFault returns the fault of a request whose deadline has passed or is
// too near for another attempt.
func (x *exchange) deadlineFault() error {
	if x.mayHaveRun {
		return fault.New(code.DeadlineOver, "after %d sends", x.sends)
	}
	return fault.New(code.NoTime, "no endpoint ran it in time")
}

// handleSendError decides what follows a send without a complete response. If
// the context has ended, nothing does.
func (x *exchange) handleSendError(ctx context.Context, err error) (bool, error) {
	if ctx.Err() != nil {
		x.mayHaveRun = x.mayHaveRun || failure.KindOf(err) != failure.Unsent
		return false, ctx.Err()
	}
	if failure.KindOf(err) == failure.Unsent {
		x.unconnected++
		return x.retryOrFail(err.Error(), false)
	}
	x.mayHaveRun = true
	x.possibleRuns++
	x.crashed = x.crashed || failure.KindOf(err) == failure.Crashed
	return x.retryOrFail(err.Error(), true)
}

// retryOrFail decides whether to make another attempt after a failure, and
// otherwise returns the fault of the request. ran says whether the failed send
// may have run: a retry then needs a route that allows it and counts towards the
// route's attempts. Every retry needs room in the retry budget.
func (x *exchange) retryOrFail(reason string, ran bool) (bool, error) {
	if ran && (x.prepared.Trial || !x.request.Route.Repeatable() || x.possibleRuns >= x.request.Route.Attempts) {
		return false, fault.New(code.AnswerLost, "%s", reason)
	}
	allowed := x.sends < maxSends && x.retryBudget.AllowRetry(x.request.Service)
	if !allowed {
		x.log.Info("not sent again", "request", x.request.ID, "reason", reason, "sends", x.sends)
		if x.mayHaveRun {
			return false, fault.New(code.AnswerLost, "%s", reason)
		}
		refused := fault.New(code.EndpointRefused, "%s", reason)
		refused.RetryAfter = defaultRetryAfter
		return false, refused
	}
	x.log.Info("sending again", "request", x.request.ID, "reason", reason, "sends", x.sends)
	return true, nil
}

// endpointRequest builds the HTTP request to an endpoint, which may take the time
// left to respond.
func (x *exchange) endpointRequest(e *registry.Endpoint, left time.Duration) *connpool.Request {
	req := x.request
	return &connpool.Request{
		EndpointName: e.Name(), Address: e.Address, Method: req.Method, Target: req.Target, Host: req.Host, Body: req.Body, ID: req.ID,
		Header: x.codec.RequestHeader(req, protocol.Attempt{
			Endpoint: e, TimeLeft: left, Inputs: x.prepared.Inputs, HasStages: len(req.Route.Stages) > 0, LastEventID: x.sequence.Last(),
		}),
		Matches: func(h http.Header) bool { return x.codec.Matches(req, h) },
	}
}

// isStream reports whether the response is a stream of events.
func (x *exchange) isStream() bool { return x.request.Route.Kind == catalog.Stream }
