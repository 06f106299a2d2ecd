// Package issuer issues tickets for non-idempotent calls and runs the call of
// each ticket at most once, without state that instances share: only the
// instance that issued a ticket, and only the same run of its process, runs the
// ticket's call. Other instances forward the call to it. A caller that lost the
// response can thus repeat the call with the same ticket through any instance
// and gets the outcome of the first execution.
package issuer

// This file defines Issuer: it issues tickets and runs calls whose ticket was
// issued here.

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
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

const secretSize = 32 // bytes

// RunFunc runs a request and counts it against its account's limits. The error is
// a *fault.Fault.
type RunFunc func(ctx context.Context, req servicecall.Request) (client.Reply, error)

// PeerClient sends calls to peers. CallIncarnation fails unless the instance at address
// is the process that want identifies. *transport.Transport implements it.
type PeerClient interface {
	CallIncarnation(ctx context.Context, address string, want identity.Identity, m method.Method, in, out proto.Message) error
}

// Resolver returns the peer address of an instance, and false if the instance is
// unknown here.
type Resolver func(name string) (address string, ok bool)

// Issuer issues and verifies tickets with a random secret that no other process
// knows, so that tickets of an earlier run of this instance are not accepted. It
// is safe for concurrent use.
type Issuer struct {
	self    identity.Identity
	secret  []byte
	store   *store.Store
	run     RunFunc
	peers   PeerClient
	resolve Resolver
	log     logr.Logger

	maxUnused atomic.Int64 // longest time until a new ticket is used, as a time.Duration; zero for no limit
}

// New returns an issuer that keeps its tickets in s.
func New(self identity.Identity, s *store.Store, run RunFunc, peers PeerClient, resolve Resolver, log logr.Logger) *Issuer {
	secret := make([]byte, secretSize)
	rand.Read(secret)
	return &Issuer{self: self, secret: secret, store: s, run: run, peers: peers, resolve: resolve, log: log}
}

// Issue returns the text of a new ticket for an account, and the time until which it
// can be used. The error is a *fault.Fault.
func (i *Issuer) Issue(account string, life time.Duration) (string, time.Time, error) {
	usable := life
	if limit := time.Duration(i.maxUnused.Load()); limit > 0 {
		usable = min(life, limit)
	}
	now := time.Now()
	expiry := now.Add(life).Truncate(time.Millisecond)
	number, err := i.store.Issue(now, now.Add(usable))
	if err != nil {
		return "", time.Time{}, err
	}
	t := token.Token{
		Issuer:      i.self.Name,
		Incarnation: i.self.Incarnation,
		Number:      number,
		Expiry:      expiry,
		Account:     account,
	}
	return t.Sign(i.secret), now.Add(usable).Truncate(time.Millisecond), nil
}

// LimitUnused limits the time within which tickets issued from now on can be used, so
// that an instance that is stopping can wait until none is left. A call that begins in
// time keeps the deadline that its ticket would have had without the limit.
func (i *Issuer) LimitUnused(limit time.Duration) { i.maxUnused.Store(int64(limit)) }

// Running returns the number of calls that run under tickets of this issuer.
func (i *Issuer) Running() int { return i.store.Running() }

// Unused returns the number of tickets of this issuer that are neither used nor
// expired.
func (i *Issuer) Unused() int { return i.store.Unused(time.Now()) }

// Run runs a request under a ticket, here or at the ticket's issuer. If the ticket
// was used for the same call before, it waits for that execution and returns its
// outcome. The error is a *fault.Fault.
func (i *Issuer) Run(ctx context.Context, text string, req servicecall.Request) (client.Reply, error) {
	t, err := token.Parse(text)
	if err != nil {
		return client.Reply{}, fault.Wrap(code.TicketInvalid, err, "from account %s", req.Account)
	}
	if t.Account != req.Account {
		return client.Reply{}, fault.New(code.TicketInvalid, "the ticket is of another account")
	}
	if t.Issuer != i.self.Name {
		return i.forward(ctx, text, t, req)
	}
	return i.runHere(ctx, text, req)
}

// runHere runs a request under a ticket that was issued here. When ctx ends, the
// call continues and its outcome is kept for a repeat.
func (i *Issuer) runHere(ctx context.Context, text string, req servicecall.Request) (client.Reply, error) {
	t, err := i.verify(text, req.Account)
	if err != nil {
		return client.Reply{}, err
	}
	x, first, err := i.store.Claim(t.Number, digestOf(req), time.Now())
	if err != nil {
		return client.Reply{}, err
	}
	if first {
		req.Call.IdempotencyKey = text
		if t.Expiry.Before(req.Call.Deadline) {
			req.Call.Deadline = t.Expiry
		}
		go i.execute(context.WithoutCancel(ctx), t.Number, req)
	}
	select {
	case <-x.Done():
		return replyOf(x.Outcome())
	case <-ctx.Done():
		return client.Reply{}, fault.Wrap(code.DeadlineOver, ctx.Err(), "ticket %d is still running", t.Number)
	}
}

// verify decodes a ticket and checks that this process issued it to the account.
func (i *Issuer) verify(text, account string) (token.Token, error) {
	t, err := token.Parse(text)
	if err != nil {
		return t, fault.Wrap(code.TicketInvalid, err, "from account %s", account)
	}
	if t.Issuer != i.self.Name || t.Incarnation != i.self.Incarnation {
		return t, fault.New(code.IssuerGone, "got issuer %s@%d, want %s", t.Issuer, t.Incarnation, i.self)
	}
	t, err = token.Verify(text, i.secret)
	if err != nil {
		return t, fault.Wrap(code.TicketInvalid, err, "from account %s", account)
	}
	if t.Account != account {
		return t, fault.New(code.TicketInvalid, "the ticket is of another account")
	}
	return t, nil
}

// execute runs a claimed call until its deadline and records its outcome.
func (i *Issuer) execute(ctx context.Context, number uint64, req servicecall.Request) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	reply, err := i.run(ctx, req)
	out := store.Outcome{Reply: reply}
	if err != nil {
		out = store.Outcome{Fault: fault.From(err)}
		i.log.Info("call under a ticket failed", "request", req.Call.RequestID, "account", req.Account,
			"ticket", number, "code", int(out.Fault.Code), "error", out.Fault.Error())
	}
	i.store.Complete(number, out, time.Now())
}

func replyOf(o store.Outcome) (client.Reply, error) {
	if o.Fault != nil {
		return client.Reply{}, o.Fault
	}
	return o.Reply, nil
}

// digestOf returns a digest of a request's content without the request ID, so that
// a repeat of the call in another request has the same digest. Each part is
// preceded by its length, so that different parts can't run together into the
// same input.
func digestOf(req servicecall.Request) store.Digest {
	h := sha256.New()
	for _, part := range []string{req.Service, req.Call.Method, req.Call.Path, req.Call.ContentType, string(req.Call.Body)} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return store.Digest(h.Sum(nil))
}
