// Package proxy carries whole requests of callers to endpoints and their
// answers back: plain ones once or, where the route allows it, again, and
// streams event by event.
package proxy

// This file defines Proxy and the way of one call.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/allowance"
	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/upstream"
	"github.com/jacinthstile/jacinthstile/internal/edge/wire"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const (
	leastLeft   = 20 * time.Millisecond  // below this no endpoint can answer in time
	mostSends   = 4                      // to endpoints that do not run the call
	againAfter  = 300 * time.Millisecond // told to callers where no better time is known
	mostAnswer  = 8 << 20                // bytes of an answer that is not a stream
	blockTokens = 256                    // tokens of a prompt that one block of the index of caches stands for
)

// Stager makes what a call needs before it can run.
type Stager interface {
	// Prepare returns the inputs of a call and the endpoint to run it on. The
	// error is a *fault.Fault of class "not run", or the context's error.
	Prepare(ctx context.Context, r Round) (Prepared, error)
}

// Round asks a Stager for a call's needs, the first time or once more.
type Round struct {
	Call   *call.Call
	Number int      // from 0
	Tried  []string // names of endpoints that failed the call
}

// Prepared is what a Stager made for a call.
type Prepared struct {
	Inputs []string // handles of results
	Prefer string   // name of the endpoint to run on; empty for any
	// Started tells that the endpoint has read the inputs.
	Started func()
	// Ended tells that the call has left its endpoint.
	Ended func()
}

// Proxy is safe for concurrent use.
type Proxy struct {
	wire      wire.Wire
	fleet     func() *fleet.Index
	tables    *holder.Holder
	dispatch  *dispatcher.Dispatcher
	pool      *upstream.Pool
	allowance *allowance.Allowance
	stager    Stager
	log       logr.Logger
}

// New returns a proxy.
func New(w wire.Wire, index func() *fleet.Index, tables *holder.Holder, d *dispatcher.Dispatcher,
	pool *upstream.Pool, a *allowance.Allowance, s Stager, log logr.Logger,
) *Proxy {
	return &Proxy{wire: w, fleet: index, tables: tables, dispatch: d, pool: pool, allowance: a, stager: s, log: log}
}

// Serve answers a call. It returns a *fault.Fault where nothing has been
// written, and ErrBroken where a stream was begun and cannot be finished. The
// error is the context's where the caller left.
func (p *Proxy) Serve(ctx context.Context, c *call.Call, w http.ResponseWriter) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	f := &flight{Proxy: p, call: c, out: w, blocks: blocksOf(c.Prompt)}
	err := f.fly(ctx)
	if err == nil {
		return nil
	}
	if f.stream.begun {
		f.log.Info("stream broke", "request", c.ID, "events", f.stream.events, "reason", err.Error())
		return ErrBroken
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return f.late()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fault.From(err)
}

// ErrBroken tells that a stream ended before its end, and that the caller's
// connection must be closed so that it does not look whole.
var ErrBroken = errors.New("the stream broke and could not go on")

// flight is one call on its way.
type flight struct {
	*Proxy
	call   *call.Call
	out    http.ResponseWriter
	blocks []uint64 // of the prompt
	ready  Prepared
	rounds int      // of preparation
	tried  []string // names of endpoints that failed the call
	sends  int
	runs   int  // sends that may have run
	maybe  bool // whether some send may have run
	stream stream
}

func (f *flight) fly(ctx context.Context) error {
	if f.isStream() {
		if err := f.prepare(ctx); err != nil {
			return err
		}
		defer func() { f.ready.Ended() }()
	}
	f.allowance.First(f.call.Service, time.Now())
	for {
		again, err := f.attempt(ctx)
		if !again {
			return err
		}
	}
}

// prepare has the call's inputs made and its endpoint chosen.
func (f *flight) prepare(ctx context.Context) error {
	ready, err := f.stager.Prepare(ctx, Round{Call: f.call, Number: f.rounds, Tried: f.tried})
	f.rounds++
	if err != nil {
		return err
	}
	if f.rounds > 1 {
		f.ready.Ended()
	}
	f.ready = ready
	return nil
}

// attempt sends the call to one endpoint. It reports whether another attempt
// should follow, and otherwise how the call ended.
func (f *flight) attempt(ctx context.Context) (again bool, err error) {
	left := time.Until(f.call.Deadline)
	if left < leastLeft {
		return false, f.late()
	}
	lease, err := f.acquire(ctx)
	if err != nil {
		return false, f.unplaced(err)
	}
	endpoint := f.fleet().Named(lease.Endpoint.Name)
	if endpoint == nil || lease.Check() != nil {
		lease.Done(unsent())
		return f.next("endpoint left", false)
	}
	f.sends++
	return f.send(ctx, lease, endpoint)
}

// acquire chooses an endpoint. Waiting for one ends when the answer could no
// longer be worth most.
func (f *flight) acquire(ctx context.Context) (*dispatcher.Lease, error) {
	latest := f.call.Goal
	if now := time.Now(); latest.Before(now) {
		latest = now.Add(time.Until(f.call.Deadline) / 4)
	}
	ask := dispatcher.Ask{
		Request: f.call.ID, Account: f.call.Account, Stage: f.call.Service, Attempt: f.sends,
		Query:  picker.Query{Role: f.call.Service, Blocks: f.blocks, Tried: f.tried, Again: true},
		Latest: latest,
	}
	if f.ready.Prefer != "" && !slices.Contains(f.tried, f.ready.Prefer) {
		if lease := f.dispatch.Take(ask, f.ready.Prefer); lease != nil {
			return lease, nil
		}
	}
	return f.dispatch.Acquire(ctx, ask)
}

// unplaced turns a refusal of the dispatcher into the call's fault.
func (f *flight) unplaced(err error) error {
	var r *dispatcher.Refusal
	if !errors.As(err, &r) {
		return err
	}
	if f.maybe {
		return fault.Wrap(code.AnswerLost, err, "no endpoint for another attempt")
	}
	c := code.NoEndpoint
	if r.Busy {
		c = code.Overloaded
	}
	f2 := fault.Wrap(c, err, "service %s", f.call.Service)
	f2.After = max(againAfter, r.After)
	return f2
}

// late is the fault of a call whose time is over.
func (f *flight) late() error {
	if f.maybe {
		return fault.New(code.DeadlineOver, "after %d sends", f.sends)
	}
	return fault.New(code.NoTime, "no endpoint ran it in time")
}

// failed decides what follows a send without an answer.
func (f *flight) failed(ctx context.Context, err error) (bool, error) {
	if ctx.Err() != nil {
		f.maybe = true
		return false, ctx.Err()
	}
	if failure.KindOf(err) == failure.Unsent {
		return f.next(err.Error(), false)
	}
	f.maybe = true
	f.runs++
	return f.next(err.Error(), true)
}

// next decides whether to send the call again after a failure, of which it is
// known that it may have run, or that it did not.
func (f *flight) next(reason string, ran bool) (bool, error) {
	now := time.Now()
	if ran && (!f.call.Route.Repeatable() || f.runs >= f.call.Route.Attempts) {
		return false, fault.New(code.AnswerLost, "%s", reason)
	}
	if f.sends >= mostSends || !f.allowance.Repeat(f.call.Service, now) {
		if f.maybe {
			return false, fault.New(code.AnswerLost, "%s", reason)
		}
		refused := fault.New(code.EndpointRefused, "%s", reason)
		refused.After = againAfter
		return false, refused
	}
	f.log.Info("sending again", "request", f.call.ID, "reason", reason, "sends", f.sends)
	return true, nil
}

func (f *flight) target(e *fleet.Endpoint, left time.Duration) *upstream.Request {
	c := f.call
	resume := c.Resume
	if f.stream.last != "" {
		resume = f.stream.last
	}
	return &upstream.Request{
		Name: e.Name(), Address: e.Address, Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: f.wire.Header(c, wire.Send{
			Endpoint: e, Left: left, Inputs: f.ready.Inputs, Staged: len(c.Route.Stages) > 0, Resume: resume,
		}),
		Own: func(h http.Header) bool { return f.wire.Own(c, h) },
	}
}

// isStream reports whether the answer comes as events.
func (f *flight) isStream() bool { return f.call.Route.Kind == catalog.Stream }
