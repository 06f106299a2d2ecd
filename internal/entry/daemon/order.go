package daemon

// This file wires the tickets and the limits.

import (
	"context"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/limit/limiter"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
)

const mostHeldReply = 64 << 10 // bytes

func (d *Daemon) newDesk(self identity.Identity) *issuer.Issuer {
	s := store.New(store.Options{
		MaxTickets:    d.config.Bounds.Tickets,
		MaxBytes:      d.config.Bounds.Outcomes,
		MaxReplyBytes: mostHeldReply,
	})
	k := issuer.New(self, s, d.runRequest, d.transport, d.members.AddressOf, d.log)
	d.transport.Handle(method.TicketRun, k.HandleRun)
	return k
}

func (d *Daemon) newKeeper(self identity.Identity) *limiter.Limiter {
	k := limiter.New(self, d.config.Bounds.Quiet.Duration(), d.tables, d.transport, d.members.AddressOfSeat, d.log)
	d.transport.Handle(method.LimitTake, k.AnswerTake)
	d.transport.Handle(method.LimitGive, k.AnswerGive)
	return k
}

// runRequest runs a call under a ticket and counts it against its account's limits.
func (d *Daemon) runRequest(ctx context.Context, o servicecall.Request) (client.Reply, error) {
	table := d.tables.Current()
	if table == nil {
		return client.Reply{}, fault.New(code.NotReady, "no table is in force")
	}
	row := table.Account(o.Account)
	if row == nil {
		return client.Reply{}, fault.New(code.UnknownAccount, "account %s has left the table", o.Account)
	}
	give, err := d.limits.Acquire(ctx, row, o.Call.Deadline)
	if err != nil {
		return client.Reply{}, err
	}
	defer give()
	return d.sender.Send(ctx, o)
}
