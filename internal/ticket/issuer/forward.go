package issuer

// This file forwards calls to the issuer of their ticket, and serves the calls
// that other instances forward to this one.

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/statuscode"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/ticketpb"
	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

// Forwarding a call again is safe, since the issuer runs it at most once.
const (
	maxForwards       = 3
	forwardRetryDelay = 50 * time.Millisecond
)

// forward sends a request to the issuer of its ticket and returns the outcome that
// the issuer reports. It returns a fault of the class "not run" only if the
// issuer reported it: even if nothing was sent now, an earlier use of the ticket
// may have run the call, which only the issuer knows.
func (i *Issuer) forward(ctx context.Context, text string, t token.Token, req servicecall.Request) (client.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	address, ok := i.resolve(t.Issuer)
	if !ok {
		return client.Reply{}, fault.New(code.IssuerGone, "issuer %s is on no list", t.Issuer)
	}
	want := identity.Identity{Name: t.Issuer, Incarnation: t.Incarnation}
	sent := false
	var last error
	for attempt := 1; attempt <= maxForwards && ctx.Err() == nil; attempt++ {
		var out ticketpb.Outcome
		err := i.peers.CallIncarnation(ctx, address, want, method.TicketRun, encodeRun(text, req), &out)
		if err == nil {
			return decodeOutcome(&out)
		}
		if restarted := new(transport.RestartedError); errors.As(err, &restarted) {
			return client.Reply{}, fault.Wrap(code.IssuerGone, err, "issuer %s", want)
		}
		last = err
		unreachable := new(transport.UnreachableError)
		sent = sent || !errors.As(err, &unreachable)
		i.log.Info("forwarding a call to the issuer of its ticket failed", "request", req.Call.RequestID, "issuer", t.Issuer,
			"ask", attempt, "sent", sent, "error", err.Error())
		pause.For(ctx, forwardRetryDelay)
	}
	switch {
	case !sent:
		return client.Reply{}, fault.Wrap(code.TicketUnreachable, last, "issuer %s", t.Issuer)
	case ctx.Err() != nil:
		return client.Reply{}, fault.Wrap(code.DeadlineOver, last, "issuer %s", t.Issuer)
	default:
		return client.Reply{}, fault.Wrap(code.AnswerLost, last, "from issuer %s", t.Issuer)
	}
}

// encodeRun carries the deadline as the time left, so that the clocks of the
// instances need not agree.
func encodeRun(text string, req servicecall.Request) *ticketpb.Run {
	return &ticketpb.Run{
		Ticket: text, Account: req.Account, Service: req.Service, Request: req.Call.RequestID,
		Method: req.Call.Method, Path: req.Call.Path, Type: req.Call.ContentType, Body: req.Call.Body,
		Left: time.Until(req.Call.Deadline).Milliseconds(),
	}
}

func decodeOutcome(out *ticketpb.Outcome) (client.Reply, error) {
	if out.Code != 0 {
		f := fault.New(code.Code(out.Code), "%s", out.Detail)
		f.RetryAfter = time.Duration(out.After) * time.Millisecond
		return client.Reply{}, f
	}
	if !statuscode.Code(out.Status).IsFinal() { // instances of older builds pass it on
		return client.Reply{}, fault.New(code.AnswerLost, "got status %03d from the endpoint, want one of an answer", out.Status)
	}
	return client.Reply{Status: int(out.Status), ContentType: out.Type, Body: out.Body}, nil
}

// HandleRun handles the peer call method.TicketRun: it runs a call under a ticket that
// was issued here. The outcome, also a fault, is in the encoded response; the
// error is only of the encoding.
func (i *Issuer) HandleRun(ctx context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var in ticketpb.Run
	if err := encoding.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(in.Left) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	i.log.V(1).Info("running a call under a ticket for a peer", "request", in.Request, "peer", from.String())
	reply, err := i.runHere(ctx, in.Ticket, servicecall.Request{
		Account: in.Account, Service: in.Service,
		Call: client.ServiceCall{
			RequestID: in.Request, Method: in.Method, Path: in.Path, ContentType: in.Type, Body: in.Body, Deadline: deadline,
		},
	})
	out := &ticketpb.Outcome{Status: int32(reply.Status), Type: reply.ContentType, Body: reply.Body}
	if err != nil {
		f := fault.From(err)
		out = &ticketpb.Outcome{Code: int32(f.Code), Detail: f.Detail, After: f.RetryAfter.Milliseconds()}
	}
	return proto.Marshal(out)
}
