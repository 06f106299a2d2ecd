package proxy

// This file sends a request to one endpoint and handles the response.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
	"github.com/jacinthstile/jacinthstile/internal/edge/answer"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
)

// send sends the request to the leased endpoint and relays the response, or
// decides what follows a failure. It reports whether to make another attempt.
func (x *exchange) send(ctx context.Context, lease *dispatcher.Lease, e *registry.Endpoint) (bool, error) {
	sent := time.Now()
	left := x.request.Deadline.Sub(sent)
	saidCrashed := x.quarantine.HasCrashed(e.Name(), sent)
	resp, err := x.pool.Send(ctx, x.endpointRequest(e, left))
	err = x.pool.CheckCrash(ctx, e.Name(), e.Address, err)
	x.logSend(lease, e, left, resp, err)
	if err != nil {
		x.recordLoss(ctx, e, err, false)
		lease.Done(endpointstats.Result{Kind: failure.KindOf(err)})
		x.tried = append(x.tried, lease.Endpoint.Name)
		return x.handleSendError(ctx, err)
	}
	defer resp.Close()
	if saidCrashed && resp.Status != http.StatusMisdirectedRequest {
		x.preparer.RecordClearance(quarantine.Clearance{Endpoint: e.Name(), At: time.Now()})
	}
	x.reportLoad(lease, resp)
	x.recordNotice(e, resp, sent)
	switch {
	case x.codec.Refused(resp.Status, resp.Header):
		return x.handleRefusal(lease, resp)
	case resp.Status >= 300 || !x.codec.Signed(resp.Header):
		return x.handleErrorResponse(ctx, lease, resp)
	case x.isStream():
		return x.relayStream(ctx, lease, e, resp, saidCrashed)
	default:
		return x.relayResponse(ctx, lease, e, resp)
	}
}

// logSend logs the outcome of a send: its error, or the status of the response.
func (x *exchange) logSend(lease *dispatcher.Lease, e *registry.Endpoint, left time.Duration, resp *connpool.Response, err error) {
	outcome := "answered"
	if err != nil {
		outcome, resp = err.Error(), &connpool.Response{}
	}
	x.log.Info("sent", "request", x.request.ID, "endpoint", e.ID, "version", e.Version, "state", e.State.String(), "send", x.sends, "left", left.String(),
		"ground", lease.Reason, "after", time.Since(x.request.Received).String(), "status", resp.Status, "reused", resp.Reused,
		"connection", resp.Connection, "skipped", resp.Skipped, "outcome", outcome)
}

// reportLoad passes on the load that the response reports, if any.
func (x *exchange) reportLoad(lease *dispatcher.Lease, resp *connpool.Response) {
	if l, ok := x.codec.Load(resp.Header); ok {
		x.dispatcher.RecordLoad(lease, l)
	}
}

// recordNotice records what the endpoint says of itself in a response, before anything
// of the response reaches the caller.
func (x *exchange) recordNotice(e *registry.Endpoint, resp *connpool.Response, sent time.Time) {
	n, err := x.codec.Notice(resp.Status, resp.Header)
	if err != nil {
		x.log.Info("notice of an endpoint ignored", "request", x.request.ID, "endpoint", e.ID, "reason", err.Error())
	}
	x.notices.Record(e, n, sent)
}

// handleRefusal handles a response which says that the endpoint did not run the
// request. Status 409 means that its inputs no longer exist on the endpoint that
// held them, so they are prepared again. After any other refusal the request is
// retried on another endpoint.
func (x *exchange) handleRefusal(lease *dispatcher.Lease, resp *connpool.Response) (bool, error) {
	discard(resp)
	lease.Done(endpointstats.Result{Kind: failure.Refused})
	if resp.Status == http.StatusConflict && len(x.prepared.Inputs) > 0 {
		return x.retryWithNewInputs("inputs were gone")
	}
	x.tried = append(x.tried, lease.Endpoint.Name)
	return x.retryOrFail(fmt.Sprintf("endpoint %s refused with status %d", lease.Endpoint.Name, resp.Status), false)
}

// retryWithNewInputs retries a request whose inputs no longer exist, after
// preparing them again.
func (x *exchange) retryWithNewInputs(reason string) (bool, error) {
	if ok, err := x.retryOrFail(reason, false); !ok {
		return false, err
	}
	if err := x.prepare(); err != nil {
		return false, err
	}
	return true, nil
}

// handleErrorResponse handles a response that has an error status or is not
// signed by the endpoint. The request may have run. It is retried after status
// 500 and above, and after a response that cannot be relayed because it is
// incomplete, unsigned, or has a status that would tell the caller that nothing
// ran. Otherwise the response is relayed.
func (x *exchange) handleErrorResponse(ctx context.Context, lease *dispatcher.Lease, resp *connpool.Response) (bool, error) {
	body, err := readAll(ctx, resp)
	lease.Done(endpointstats.Result{Kind: failure.Errored})
	x.mayHaveRun = true
	x.possibleRuns++
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if err == nil {
		x.recordCompleted()
	}
	reason := fmt.Sprintf("endpoint %s answered status %d", lease.Endpoint.Name, resp.Status)
	relayable := err == nil && resp.Status >= 300 && x.codec.Signed(resp.Header) && !x.codec.ImpliesNotRun(resp.Status)
	if resp.Status >= 500 || !relayable {
		x.tried = append(x.tried, lease.Endpoint.Name)
		if retry, _ := x.retryOrFail(reason, true); retry {
			return true, nil
		}
	}
	if !relayable {
		return false, fault.New(code.AnswerBad, "%s", reason)
	}
	return false, x.writeResponse(ctx, resp, body)
}

// relayResponse relays a response that is not a stream, after reading all of it.
func (x *exchange) relayResponse(ctx context.Context, lease *dispatcher.Lease, e *registry.Endpoint, resp *connpool.Response) (bool, error) {
	body, err := readAll(ctx, resp)
	if errors.Is(err, webserver.ErrNoAnswerMemory) {
		lease.Done(endpointstats.Result{})
		return false, fault.Wrap(code.AnswerLost, err, "reading the answer of %s", lease.Endpoint.Name)
	}
	if err != nil {
		err = x.pool.CheckCrash(ctx, e.Name(), e.Address, failure.New(failure.Lost, err, "reading the answer of %s", lease.Endpoint.Name))
		x.recordLoss(ctx, e, err, true)
		lease.Done(endpointstats.Result{Kind: failure.KindOf(err)})
		x.tried = append(x.tried, lease.Endpoint.Name)
		return x.handleSendError(ctx, err)
	}
	x.recordCompleted()
	lease.Done(endpointstats.Result{})
	return false, x.writeResponse(ctx, resp, body)
}

// writeResponse writes a complete response to the caller, unless a stream has begun. An error of
// writing is only logged, because the request has been served by then.
func (x *exchange) writeResponse(ctx context.Context, resp *connpool.Response, body []byte) error {
	if len(body) > freeAnswerBytes {
		webserver.BeginAnswer(ctx)
	}
	err := x.answer.Whole(resp.Status, resp.Header, body)
	if errors.Is(err, answer.ErrBegun) {
		return fault.Wrap(code.AnswerBad, err, "after %d events", x.sequence.Events())
	}
	if err != nil {
		x.log.V(1).Info("writing the response to the caller failed", "request", x.request.ID, "reason", err.Error())
	}
	return nil
}

// discard reads a short body to its end, so that the connection can be reused.
func discard(resp *connpool.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes)); err != nil {
		return // Close closes the connection then, and the body is not needed
	}
}
