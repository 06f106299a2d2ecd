// Package desk issues tickets for non-idempotent calls and has each run at most
// once: by this daemon when it issued the ticket, by the issuer otherwise.
package desk

// This file defines Desk, the issuing of tickets, and calls that run here.

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/relay"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

const secretSize = 32 // bytes

// Runner runs an order under its account's limits. The error is a *fault.Fault.
type Runner func(ctx context.Context, o relay.Order) (client.Reply, error)

// Caller sends calls to peers, as *mesh.Mesh does.
type Caller interface {
	CallExact(ctx context.Context, address string, want identity.Identity, k kind.Kind, in, out proto.Message) error
}

// Finder returns the peer address of an instance, and false for one that is
// neither listed nor heard of.
type Finder func(name string) (address string, ok bool)

// Desk issues tickets under a secret of its own, which no other process knows.
type Desk struct {
	self   identity.Identity
	secret []byte
	store  *store.Store
	run    Runner
	peers  Caller
	find   Finder
	log    logr.Logger

	longest atomic.Int64 // longest life of a new ticket, as a time.Duration; zero for no bound
}

// New returns a desk that holds its tickets in s.
func New(self identity.Identity, s *store.Store, run Runner, peers Caller, find Finder, log logr.Logger) *Desk {
	secret := make([]byte, secretSize)
	rand.Read(secret)
	return &Desk{self: self, secret: secret, store: s, run: run, peers: peers, find: find, log: log}
}

// Issue returns the text of a new ticket for an account.
func (d *Desk) Issue(account string, life time.Duration) (string, time.Time, error) {
	if longest := time.Duration(d.longest.Load()); longest > 0 {
		life = min(life, longest)
	}
	now := time.Now()
	expiry := now.Add(life).Truncate(time.Millisecond)
	number, err := d.store.Issue(now, now.Add(life))
	if err != nil {
		return "", time.Time{}, err
	}
	t := token.Token{
		Issuer:      d.self.Name,
		Incarnation: d.self.Incarnation,
		Number:      number,
		Expiry:      expiry,
		Account:     account,
	}
	return t.Sign(d.secret), expiry, nil
}

// Shorten bounds the life of tickets issued from now on, so that a daemon that
// stops can wait for all of them.
func (d *Desk) Shorten(longest time.Duration) { d.longest.Store(int64(longest)) }

// Running returns how many calls under tickets of this desk have no outcome yet.
func (d *Desk) Running() int { return d.store.Running() }

// Unused returns how many tickets of this desk may still be used.
func (d *Desk) Unused() int { return d.store.Unused(time.Now()) }

// Run has an order run under a ticket, or returns the outcome of its first
// run. The error is a *fault.Fault.
func (d *Desk) Run(ctx context.Context, text string, o relay.Order) (client.Reply, error) {
	t, err := token.Parse(text)
	if err != nil {
		return client.Reply{}, fault.Wrap(code.TicketInvalid, err, "from account %s", o.Account)
	}
	if t.Account != o.Account {
		return client.Reply{}, fault.New(code.TicketInvalid, "the ticket is of another account")
	}
	if t.Issuer != d.self.Name {
		return d.forward(ctx, text, t, o)
	}
	return d.runHere(ctx, text, o)
}

// runHere runs an order under a ticket of this desk. The call goes on when ctx
// ends, and its outcome is kept.
func (d *Desk) runHere(ctx context.Context, text string, o relay.Order) (client.Reply, error) {
	t, err := d.verify(text, o.Account)
	if err != nil {
		return client.Reply{}, err
	}
	f, first, err := d.store.Claim(t.Number, digestOf(o), time.Now())
	if err != nil {
		return client.Reply{}, err
	}
	if first {
		o.Call.Key = text
		if t.Expiry.Before(o.Call.Deadline) {
			o.Call.Deadline = t.Expiry
		}
		go d.execute(context.WithoutCancel(ctx), t.Number, o)
	}
	select {
	case <-f.Done():
		return unpack(f.Outcome())
	case <-ctx.Done():
		return client.Reply{}, fault.Wrap(code.DeadlineOver, ctx.Err(), "ticket %d is still running", t.Number)
	}
}

func (d *Desk) verify(text, account string) (token.Token, error) {
	t, err := token.Parse(text)
	if err != nil {
		return t, fault.Wrap(code.TicketInvalid, err, "from account %s", account)
	}
	if t.Issuer != d.self.Name || t.Incarnation != d.self.Incarnation {
		return t, fault.New(code.IssuerGone, "got issuer %s@%d, want %s", t.Issuer, t.Incarnation, d.self)
	}
	t, err = token.Verify(text, d.secret)
	if err != nil {
		return t, fault.Wrap(code.TicketInvalid, err, "from account %s", account)
	}
	if t.Account != account {
		return t, fault.New(code.TicketInvalid, "the ticket is of another account")
	}
	return t, nil
}

func (d *Desk) execute(ctx context.Context, number uint64, o relay.Order) {
	ctx, cancel := context.WithDeadline(ctx, o.Call.Deadline)
	defer cancel()
	reply, err := d.run(ctx, o)
	out := store.Outcome{Reply: reply}
	if err != nil {
		out = store.Outcome{Fault: fault.From(err)}
		d.log.Info("ticket ended without a reply", "request", o.Call.Request, "account", o.Account,
			"ticket", number, "code", int(out.Fault.Code), "error", out.Fault.Error())
	}
	d.store.Complete(number, out, time.Now())
}

func unpack(o store.Outcome) (client.Reply, error) {
	if o.Fault != nil {
		return client.Reply{}, o.Fault
	}
	return o.Reply, nil
}

// digestOf returns a digest of what an order asks for: the same call in
// another request has the same digest. Each part has its length in front.
func digestOf(o relay.Order) store.Digest {
	h := sha256.New()
	for _, part := range []string{o.Service, o.Call.Method, o.Call.Path, o.Call.Type, string(o.Call.Body)} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return store.Digest(h.Sum(nil))
}
