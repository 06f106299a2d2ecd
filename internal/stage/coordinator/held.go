package coordinator

// This file rejects the orders whose prompt has parts that crash engines, also those that
// wait or whose stages run, and records whose answers have begun.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// orderLimit is the age after which an order whose end was not reported is forgotten.
const orderLimit = 2 * time.Minute

// openOrder is an order that has not ended.
type openOrder struct {
	prompt []request.PromptPart
	trial  bool
	since  time.Time
	cancel context.CancelCauseFunc // ends its preparation; nil once it is prepared
}

// errHeld is the cause with which the preparation of an order is cancelled.
var errHeld = errors.New("a part of the prompt is held back")

// heldFault has no time to retry after: the same prompt would be refused again.
func heldFault() *fault.Fault {
	return fault.New(code.PromptHeld, "engines crashed under requests with a part of the prompt")
}

// heldOr returns the fault of an order whose preparation was cancelled because its prompt
// is held back, and err for others.
func heldOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errHeld) {
		return heldFault()
	}
	return err
}

// open decides whether an order is admitted, and records it. The context ends with errHeld
// as its cause once the order's prompt is held back.
func (c *Coordinator) open(ctx context.Context, o Order, now time.Time) (context.Context, *openOrder, error) {
	decision := c.quarantine.Admit(o.Prompt, o.ID, o.MayTry, now)
	switch decision {
	case quarantine.Admitted:
	case quarantine.Trial:
		c.log.Info("sending a request with prompt parts that are held back, as a trial", "request", o.Request)
	case quarantine.Held:
		return ctx, nil, heldFault()
	default:
		panic("coordinator: got decision " + decision.String())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	open := &openOrder{prompt: o.Prompt, trial: decision == quarantine.Trial, since: now, cancel: cancel}
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

// RejectHeld rejects the orders in preparation whose prompt is held back by now.
func (c *Coordinator) RejectHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.orders {
		if open.cancel != nil && !open.trial && c.quarantine.Holds(open.prompt) {
			open.cancel(errHeld)
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
	for _, g := range c.quarantine.RecordBegun(open.prompt, now) {
		c.log.Info("verdict on prompt parts changed", "parts", g.Parts, "held", g.Held(), "reason", "an answer has begun", "order", id)
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
