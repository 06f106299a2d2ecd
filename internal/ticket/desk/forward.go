package desk

// This file carries calls to the issuer of their ticket, and answers for tickets issued here.

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/relay"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/ticketpb"
	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

// Asking the issuer again is safe, since it runs the call once.
const (
	mostAsks = 3
	askPause = 50 * time.Millisecond
)

// forward asks the issuer of a ticket to run an order. No answer of this
// function has the class "not run" unless the issuer gave it: what an earlier
// use of the ticket did is known to the issuer alone.
func (d *Desk) forward(ctx context.Context, text string, t token.Token, o relay.Order) (client.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, o.Call.Deadline)
	defer cancel()
	address, ok := d.find(t.Issuer)
	if !ok {
		return client.Reply{}, fault.New(code.IssuerGone, "issuer %s is on no list", t.Issuer)
	}
	want := identity.Identity{Name: t.Issuer, Incarnation: t.Incarnation}
	sent := false
	var last error
	for ask := 1; ask <= mostAsks && ctx.Err() == nil; ask++ {
		var out ticketpb.Outcome
		err := d.peers.CallExact(ctx, address, want, kind.TicketRun, encode(text, o), &out)
		if err == nil {
			return accept(&out)
		}
		if gone := new(mesh.Gone); errors.As(err, &gone) {
			return client.Reply{}, fault.Wrap(code.IssuerGone, err, "issuer %s", want)
		}
		last = err
		unreachable := new(mesh.Unreachable)
		sent = sent || !errors.As(err, &unreachable)
		d.log.Info("ticket not forwarded", "request", o.Call.Request, "issuer", t.Issuer,
			"ask", ask, "sent", sent, "error", err.Error())
		pause.For(ctx, askPause)
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

func encode(text string, o relay.Order) *ticketpb.Run {
	return &ticketpb.Run{
		Ticket: text, Account: o.Account, Service: o.Service, Request: o.Call.Request,
		Method: o.Call.Method, Path: o.Call.Path, Type: o.Call.Type, Body: o.Call.Body,
		Left: time.Until(o.Call.Deadline).Milliseconds(),
	}
}

func accept(out *ticketpb.Outcome) (client.Reply, error) {
	if out.Code != 0 {
		f := fault.New(code.Code(out.Code), "%s", out.Detail)
		f.After = time.Duration(out.After) * time.Millisecond
		return client.Reply{}, f
	}
	return client.Reply{Status: int(out.Status), Type: out.Type, Body: out.Body}, nil
}

// Answer handles kind.TicketRun: it runs a call under a ticket of this desk.
func (d *Desk) Answer(ctx context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var q ticketpb.Run
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(q.Left) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d.log.V(1).Info("ticket call from peer", "request", q.Request, "peer", from.String())
	reply, err := d.runHere(ctx, q.Ticket, relay.Order{
		Account: q.Account, Service: q.Service,
		Call: client.Plain{
			Request: q.Request, Method: q.Method, Path: q.Path, Type: q.Type, Body: q.Body, Deadline: deadline,
		},
	})
	out := &ticketpb.Outcome{Status: int32(reply.Status), Type: reply.Type, Body: reply.Body}
	if err != nil {
		f := fault.From(err)
		out = &ticketpb.Outcome{Code: int32(f.Code), Detail: f.Detail, After: f.After.Milliseconds()}
	}
	return proto.Marshal(out)
}
