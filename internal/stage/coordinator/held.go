package coordinator

// This file rejects the orders of requests that crash endpoints, also those that wait or whose
// stages run, and records whose answers have begun.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// orderLimit is the age after which an order whose end was not reported is forgotten.
const orderLimit = 2 * time.Minute

// openOrder is an order that has not ended.
type openOrder struct {
	subject quarantine.Subject
	trial   bool
	since   time.Time
	cancel  context.CancelCauseFunc // ends its preparation; nil once it is prepared
}

// subject returns what the quarantine knows the request by.
func (o Order) subject() quarantine.Subject {
	return quarantine.Subject{Fingerprint: o.Fingerprint, Prompt: o.Prompt}
}

// Causes with which the preparation of an order is cancelled.
var (
	errPromptHeld  = errors.New("a part of the prompt is held back")
	errRequestHeld = errors.New("the request is held back as a whole")
)

// heldFault has no time to retry after: the same request would be refused again.
func heldFault(whole bool) *fault.Fault {
	if whole {
		return fault.New(code.RequestHeld, "endpoints crashed under equal requests")
	}
	return fault.New(code.PromptHeld, "engines crashed under requests with a part of the prompt")
}

// heldOr returns the fault of an order whose preparation was cancelled because it is held
// back, and err for others.
func heldOr(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPromptHeld):
		return heldFault(false)
	case errors.Is(cause, errRequestHeld):
		return heldFault(true)
	}
	return err
}

// open decides whether an order is admitted, and records it. The context ends with
// errPromptHeld or errRequestHeld as its cause once the order is held back.
func (c *Coordinator) open(ctx context.Context, o Order, now time.Time) (context.Context, *openOrder, error) {
	subject := o.subject()
	decision := c.quarantine.Admit(subject, o.ID, o.MayTry, now)
	switch decision {
	case quarantine.Admitted:
	case quarantine.Trial:
		c.log.Info("sending a request that is held back, as a trial", "request", o.Request)
	case quarantine.Held:
		_, whole := c.quarantine.Holds(subject)
		return ctx, nil, heldFault(whole)
	default:
		panic("coordinator: got decision " + decision.String())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	open := &openOrder{subject: subject, trial: decision == quarantine.Trial, since: now, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[o.ID] = open
	return ctx, open, nil
}

// endWaiting records that the preparation of an order is over.
func (c *Coordinator) endWaiting(open *openOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open.cancel(nil)
	open.cancel = nil
}

func (c *Coordinator) close(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.orders, id)
}

// RejectHeld rejects the orders in preparation that are held back by now.
func (c *Coordinator) RejectHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.orders {
		if open.cancel == nil || open.trial {
			continue
		}
		switch held, whole := c.quarantine.Holds(open.subject); {
		case held && whole:
			open.cancel(errRequestHeld)
		case held:
			open.cancel(errPromptHeld)
		}
	}
}

// recordBegun records that the answer to the request of an order has begun.
func (c *Coordinator) recordBegun(id string, now time.Time) {
	c.mu.Lock()
	open := c.orders[id]
	c.mu.Unlock()
	if open == nil {
		return
	}
	for _, g := range c.quarantine.RecordBegun(open.subject, now) {
		c.log.Info("verdict on requests changed", "features", g.Parts, "held", g.Held(), "reason", "an answer has begun", "order", id)
	}
}

func (c *Coordinator) sweepOrders(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, open := range c.orders {
		if now.Sub(open.since) > orderLimit {
			delete(c.orders, id)
		}
	}
}
