package proxy

// This file has requests served by another instance while this one has no path to the endpoints
// of their service. The other instance does all that belongs to serving them; this one only
// passes its response on.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/prober"
	"github.com/jacinthstile/jacinthstile/internal/edge/protocol"
	"github.com/jacinthstile/jacinthstile/internal/edge/reach"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// maxRelays is the number of other instances that one request is sent to, one after the other.
const maxRelays = 3

// Paths knows which services this instance can reach, and which instances serve requests for it.
type Paths struct {
	Reach  *reach.Tracker
	Prober *prober.Prober
	Relays *relays.List
}

// isCutOff reports whether this instance has no path to the service of the request. A request that
// another instance sent is never sent on to a third one.
func (x *exchange) isCutOff() bool {
	return !x.request.Relayed && x.paths.Reach.CutOff(x.request.Service, time.Now())
}

// mayRelay reports whether another instance may still serve the request after it ended here with
// an error: no endpoint could be reached and none may have run it, or it may be repeated.
func (x *exchange) mayRelay(ctx context.Context, err error) bool {
	var f *fault.Fault
	if x.request.Relayed || ctx.Err() != nil || !errors.As(err, &f) || x.isHeld() {
		return false
	}
	if !x.mayHaveRun {
		return x.unconnected > 0
	}
	if x.crashed && !x.paths.Reach.IsPartitioned() {
		return false // it would crash the next endpoint
	}
	return x.unconnected+x.possibleRuns > 0 && !x.prepared.Trial && x.mayRepeat() && x.isCutOff()
}

// hasRoomToRelay reports whether the retry budget has room to have another instance serve the request, which
// ended here. All sends here but the first took room; that of one without a connection is left, as it
// reached nothing.
func (x *exchange) hasRoomToRelay() bool {
	return x.unconnected > 0 || x.retryBudget.AllowRetry(x.request.Service)
}

// mayRepeat reports whether the request may be sent again although it may have run.
func (x *exchange) mayRepeat() bool {
	return x.request.Route.Repeatable() && x.possibleRuns < x.request.Route.Attempts
}

// relay has another instance serve the request. It reports false if no instance could be reached,
// and nothing has been sent.
func (x *exchange) relay(ctx context.Context) (done bool, err error) {
	x.prepared = Prepared{Started: func() {}, Ended: func() {}}
	var tried []string
	for len(tried) < maxRelays {
		address, ok := x.paths.Relays.Pick(tried, x.request.MayGoTo, time.Now())
		if !ok {
			break
		}
		tried = append(tried, address)
		var again bool
		again, err = x.sendToInstance(ctx, address)
		done = done || failure.KindOf(err) != failure.Unsent
		if !again {
			return true, err
		}
	}
	if err == nil || !done {
		return false, nil
	}
	return true, err
}

// sendToInstance sends the request to another instance and passes its response on. It reports
// whether a third one may be asked.
func (x *exchange) sendToInstance(ctx context.Context, address string) (again bool, err error) {
	if x.waiting.Err() != nil {
		return false, x.waiting.Err()
	}
	left := x.timeToRelay()
	if left < minTimeLeft {
		return false, x.deadlineFault()
	}
	resp, err := x.pool.Send(ctx, x.relayRequest(address, left))
	x.logRelay(address, left, resp, err)
	x.recorded = x.recorded || failure.KindOf(err) != failure.Unsent // that instance records it, if it sends it to an endpoint
	if err != nil {
		return x.handleRelayError(ctx, address, err)
	}
	defer resp.Close()
	if !x.codec.Signed(resp.Header) {
		return x.handleRelayFault(ctx, address, resp)
	}
	if x.isStream() && resp.Status < http.StatusMultipleChoices {
		return x.relayEventsOf(ctx, address, resp)
	}
	body, err := readAll(ctx, resp)
	if errors.Is(err, webserver.ErrNoAnswerMemory) {
		x.mayHaveRun = true
		return false, fault.Wrap(code.AnswerLost, err, "reading the answer of instance %s", address)
	}
	if err != nil {
		return x.handleRelayError(ctx, address, failure.New(failure.Lost, err, "reading the answer of instance %s", address))
	}
	return false, x.writeResponse(ctx, resp, body)
}

func (x *exchange) logRelay(address string, left time.Duration, resp *connpool.Response, err error) {
	outcome := "answered"
	if err != nil {
		outcome, resp = err.Error(), &connpool.Response{}
	}
	x.log.Info("sent to another instance", "request", x.request.ID, "instance", address, "service", x.request.Service, "left", left.String(),
		"after", time.Since(x.request.Received).String(), "sends", x.sends, "unconnected", x.unconnected, "runs", x.possibleRuns, "status", resp.Status,
		"connection", resp.Connection, "skipped", resp.Skipped, "outcome", outcome)
}

// relayRequest builds the request to another instance. A stream of which the caller holds events
// goes on after the last of them.
func (x *exchange) relayRequest(address string, left time.Duration) *connpool.Request {
	req := x.request
	a := protocol.RelayAttempt{TimeLeft: left, Runs: x.possibleRuns, Recorded: x.recorded, LastEventID: x.sequence.Last(), Resumes: req.Resumes, Origin: x.origin}
	if x.sequence.Events() > 0 && a.Resumes == "" {
		a.Resumes = req.ID
	}
	return &connpool.Request{
		EndpointName: "instance " + address, Address: address, Method: req.Method, Target: req.Target, Host: req.Host, Body: req.Body, ID: req.ID,
		Header: x.codec.RelayHeader(req, a), Matches: func(h http.Header) bool { return x.codec.Matches(req, h) },
	}
}

// relayEventsOf passes a stream of another instance on. That instance records what began it.
func (x *exchange) relayEventsOf(ctx context.Context, address string, resp *connpool.Response) (again bool, err error) {
	if x.answer.Begun() {
		x.sequence.Resume()
	}
	_, err = x.relayEvents(resp, time.Now(), func() { x.bound = true })
	if err == nil {
		return false, nil
	}
	return x.handleRelayError(ctx, address, failure.New(failure.Lost, err, "stream of instance %s after %d events", address, x.sequence.Events()))
}

// handleRelayError decides what follows a request to another instance without a complete response.
// Whether that instance sent it on is not known.
func (x *exchange) handleRelayError(ctx context.Context, address string, err error) (again bool, _ error) {
	if ctx.Err() != nil {
		x.mayHaveRun = x.mayHaveRun || failure.KindOf(err) != failure.Unsent
		return false, ctx.Err()
	}
	x.paths.Relays.Failed(address, time.Now())
	if failure.KindOf(err) == failure.Unsent {
		return true, err
	}
	x.mayHaveRun = true
	x.possibleRuns++
	again = x.mayRepeat() && (!x.answer.Begun() || x.request.Route.Resume && x.sequence.Resumable()) && x.retryBudget.AllowRetry(x.request.Service)
	return again, fault.Wrap(code.AnswerLost, err, "served by another instance")
}

// handleRelayFault decides what follows a response that is the other instance's own. What did not
// run there for want of endpoints, or as its catalog differs, may be served by a third one.
func (x *exchange) handleRelayFault(ctx context.Context, address string, resp *connpool.Response) (again bool, _ error) {
	body, err := readAll(ctx, resp)
	if err != nil {
		body = nil // the status and the headers still hold
	}
	f := x.codec.RelayFault(resp.Status, resp.Header, body)
	f.Detail = fmt.Sprintf("instance %s: %s", address, f.Detail)
	if f.Code.Class() != class.NotRun {
		x.mayHaveRun = true
		x.possibleRuns++
		return x.mayRepeat() && x.retryBudget.AllowRetry(x.request.Service), f
	}
	if _, stopping := x.shutdown.Left(); stopping && f.Code == code.NoTime && f.RetryAfter == 0 {
		f.RetryAfter = defaultRetryAfter // it had the time until this instance stops, which the caller may exceed
	}
	switch f.Code {
	case code.NoEndpoint, code.EndpointRefused, code.NotReady, code.Overloaded, code.UnknownService, code.UnknownAccount:
		again = x.retryBudget.AllowRetry(x.request.Service)
	}
	switch {
	case x.mayHaveRun:
		f = fault.Wrap(code.AnswerLost, f, "not repeated")
	case f.Code.Status() < http.StatusInternalServerError && f.Code.Status() != http.StatusTooManyRequests:
		f = fault.Wrap(code.NotReady, f, "the catalogs of two instances differ")
		f.RetryAfter = defaultRetryAfter
	}
	return again, f
}
