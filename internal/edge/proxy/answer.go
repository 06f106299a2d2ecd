package proxy

// This file sends a call to one endpoint and takes its answer.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/upstream"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
)

func unsent() board.Result { return board.Result{Kind: failure.Unsent} }

// send sends the call to an endpoint and relays its answer.
func (f *flight) send(ctx context.Context, lease *dispatcher.Lease, e *fleet.Endpoint) (bool, error) {
	left := time.Until(f.call.Deadline)
	a, err := f.pool.Send(ctx, f.target(e, left))
	f.logSend(lease, e, left, a, err)
	if err != nil {
		lease.Done(board.Result{Kind: failure.KindOf(err)})
		f.tried = append(f.tried, lease.Endpoint.Name)
		return f.failed(ctx, err)
	}
	defer a.Close()
	f.report(lease, a)
	switch {
	case f.wire.Refused(a.Status, a.Header):
		return f.refused(ctx, lease, a)
	case a.Status >= 300 || !f.wire.Signed(a.Header):
		return f.unsuccessful(ctx, lease, a)
	case f.isStream():
		return f.relay(ctx, lease, a)
	default:
		return f.whole(ctx, lease, a)
	}
}

// logSend says what became of a send, up to the head of the answer.
func (f *flight) logSend(lease *dispatcher.Lease, e *fleet.Endpoint, left time.Duration, a *upstream.Answer, err error) {
	outcome, status, reused := "", 0, false
	if err != nil {
		outcome = err.Error()
	} else {
		outcome, status, reused = "answered", a.Status, a.Reused
	}
	f.log.Info("sent", "request", f.call.ID, "endpoint", e.ID, "state", e.State.String(), "send", f.sends, "left", left.String(),
		"ground", lease.Ground, "after", time.Since(f.call.Received).String(), "status", status, "reused", reused, "outcome", outcome)
}

func (f *flight) report(lease *dispatcher.Lease, a *upstream.Answer) {
	if l, ok := f.wire.Load(a.Header); ok {
		f.dispatch.Report(lease, l)
	}
}

// refused handles an endpoint that did not run the call.
func (f *flight) refused(ctx context.Context, lease *dispatcher.Lease, a *upstream.Answer) (bool, error) {
	discard(a)
	lease.Done(board.Result{Kind: failure.Refused})
	if a.Status == http.StatusConflict && len(f.ready.Inputs) > 0 {
		return f.again(ctx, "inputs were gone")
	}
	f.tried = append(f.tried, lease.Endpoint.Name)
	return f.next(fmt.Sprintf("endpoint %s refused with status %d", lease.Endpoint.Name, a.Status), false)
}

// again has the inputs made once more, which no longer exist, and sends the
// call again.
func (f *flight) again(ctx context.Context, reason string) (bool, error) {
	if ok, err := f.next(reason, false); !ok {
		return false, err
	}
	if err := f.prepare(ctx); err != nil {
		return false, err
	}
	return true, nil
}

// unsuccessful handles an answer that is no success: the endpoint ran the call
// and failed, or the answer is not its own.
func (f *flight) unsuccessful(ctx context.Context, lease *dispatcher.Lease, a *upstream.Answer) (bool, error) {
	body, err := readAll(a)
	lease.Done(board.Result{Kind: failure.Errored})
	f.maybe = true
	f.runs++
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	reason := fmt.Sprintf("endpoint %s answered status %d", lease.Endpoint.Name, a.Status)
	proper := err == nil && a.Status >= 300 && f.wire.Signed(a.Header) && !f.wire.Promise(a.Status)
	if a.Status >= 500 || !proper {
		f.tried = append(f.tried, lease.Endpoint.Name)
		if again, _ := f.next(reason, true); again {
			return true, nil
		}
	}
	if !proper || f.stream.begun {
		return false, fault.New(code.AnswerBad, "%s", reason)
	}
	return false, f.write(a, body)
}

// whole relays an answer that is not a stream once all of it is here.
func (f *flight) whole(ctx context.Context, lease *dispatcher.Lease, a *upstream.Answer) (bool, error) {
	body, err := readAll(a)
	if err != nil {
		lease.Done(board.Result{Kind: failure.Lost})
		f.tried = append(f.tried, lease.Endpoint.Name)
		return f.failed(ctx, failure.New(failure.Lost, err, "reading the answer of %s", lease.Endpoint.Name))
	}
	lease.Done(board.Result{})
	return false, f.write(a, body)
}

func (f *flight) write(a *upstream.Answer, body []byte) error {
	h := f.out.Header()
	copyHeader(h, a.Header)
	f.wire.Onward(h)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.out.WriteHeader(a.Status)
	if _, err := f.out.Write(body); err != nil {
		f.log.V(1).Info("caller left during the answer", "request", f.call.ID, "reason", err.Error())
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func readAll(a *upstream.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > mostAnswer {
		return nil, fmt.Errorf("got an answer of more than %d bytes", mostAnswer)
	}
	return body, nil
}

// discard reads a short answer to its end, so that its connection can be kept.
func discard(a *upstream.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, mostAnswer)); err != nil {
		return // the connection is closed; nothing in the answer is wanted
	}
}
