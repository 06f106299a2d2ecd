package daemon

// This file constructs the ticket issuer and the account limiter and registers
// their handlers of peer calls.

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

// maxReplyBytes is the maximum size of a reply that is kept for repeated calls with
// the same ticket.
const maxReplyBytes = 64 << 10

func (d *Daemon) newIssuer(self identity.Identity) *issuer.Issuer {
	s := store.New(store.Options{
		MaxTickets:    d.config.Bounds.MaxTickets,
		MaxBytes:      d.config.Bounds.MaxReplyBytes,
		MaxReplyBytes: maxReplyBytes,
	})
	i := issuer.New(self, s, d.runTicketCall, d.transport, d.members.AddressOf, d.log)
	d.transport.Handle(method.TicketRun, i.HandleRun)
	return i
}

func (d *Daemon) newLimiter(self identity.Identity) *limiter.Limiter {
	l := limiter.New(self, d.config.Bounds.QuietPeriod.Duration(), d.tables, d.transport, d.members.AddressOfSeat, d.log)
	d.transport.Handle(method.LimitTake, l.HandleTake)
	d.transport.Handle(method.LimitGive, l.HandleGive)
	return l
}

// runTicketCall sends the call of a ticket to its service and counts it against the
// limits of its account.
func (d *Daemon) runTicketCall(ctx context.Context, req servicecall.Request) (client.Reply, error) {
	table := d.tables.Current()
	if table == nil {
		return client.Reply{}, fault.New(code.NotReady, "no table is in force")
	}
	acct := table.Account(req.Account)
	if acct == nil {
		return client.Reply{}, fault.New(code.UnknownAccount, "account %s has left the table", req.Account)
	}
	release, err := d.limits.Acquire(ctx, acct, req.Call.Deadline)
	if err != nil {
		return client.Reply{}, err
	}
	defer release()
	return d.sender.Send(ctx, req)
}
