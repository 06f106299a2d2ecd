// Package desk issues tickets for non-idempotent calls and runs each at most once.
package desk

// This file defines Desk.

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

const secretSize = 32 // bytes

// Desk holds the tickets that this start of this instance issued.
type Desk struct {
	self   identity.Identity
	most   int
	secret []byte

	mu      sync.Mutex
	last    uint64
	tickets map[uint64]*ticket
}

type ticket struct {
	expiry time.Time
	digest string        // digest of the call that used the ticket; empty while unused
	done   chan struct{} // closed once reply and err are set
	reply  client.Reply
	err    error
}

// New returns a desk that holds at most the given number of tickets.
func New(self identity.Identity, most int) *Desk {
	secret := make([]byte, secretSize)
	rand.Read(secret)
	return &Desk{self: self, most: most, secret: secret, tickets: make(map[uint64]*ticket)}
}

// Issue returns the text of a new ticket for an account.
func (d *Desk) Issue(account string, life time.Duration) (string, time.Time, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tickets) >= d.most {
		d.sweep(now)
	}
	if len(d.tickets) >= d.most {
		return "", time.Time{}, fault.New(code.TicketStoreFull, "%d tickets are held", len(d.tickets))
	}
	d.last++
	expiry := now.Add(life)
	d.tickets[d.last] = &ticket{expiry: expiry, done: make(chan struct{})}
	t := token.Token{
		Issuer:      d.self.Name,
		Incarnation: d.self.Incarnation,
		Number:      d.last,
		Expiry:      expiry,
		Account:     account,
	}
	return t.Sign(d.secret), expiry, nil
}

// sweep forgets expired tickets whose call is not running.
func (d *Desk) sweep(now time.Time) {
	for n, t := range d.tickets {
		running := t.digest != "" && !isClosed(t.done)
		if now.After(t.expiry) && !running {
			delete(d.tickets, n)
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Run runs the call that digest identifies under a ticket. A repeat of the same
// call waits for the first and gets its result; another call is refused.
func (d *Desk) Run(ctx context.Context, text, account, digest string, run func() (client.Reply, error)) (client.Reply, error) {
	t, first, err := d.claim(text, account, digest)
	if err != nil {
		return client.Reply{}, err
	}
	if first {
		t.reply, t.err = run()
		close(t.done)
		return t.reply, t.err
	}
	select {
	case <-t.done:
		return t.reply, t.err
	case <-ctx.Done():
		return client.Reply{}, fault.New(code.DeadlineOver, "the first call with this ticket is still running")
	}
}

func (d *Desk) claim(text, account, digest string) (t *ticket, first bool, err error) {
	tok, err := token.Verify(text, d.secret)
	if err != nil {
		return nil, false, fault.Wrap(code.TicketInvalid, err, "from account %s", account)
	}
	if tok.Account != account {
		return nil, false, fault.New(code.TicketInvalid, "the ticket is of another account")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t = d.tickets[tok.Number]
	switch {
	case t == nil || t.digest == "" && time.Now().After(t.expiry):
		return nil, false, fault.New(code.TicketExpired, "at %s", tok.Expiry.Format(time.RFC3339))
	case t.digest == "":
		t.digest = digest
		return t, true, nil
	case t.digest != digest:
		return nil, false, fault.New(code.TicketReused, "for another call")
	default:
		return t, false, nil
	}
}
