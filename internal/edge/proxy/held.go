package proxy

// This file handles prompts with parts that crash engines.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// isHeld reports whether the request must not be sent because of its prompt. Repeats and
// requests that waited are checked too, since the verdict may have come meanwhile.
func (x *exchange) isHeld() bool {
	return x.isStream() && !x.prepared.Trial && x.quarantine.Holds(x.request.Prompt)
}

// heldFault returns the fault of a request whose prompt is held back.
func (x *exchange) heldFault() error {
	if x.mayHaveRun {
		return fault.New(code.AnswerLost, "not repeated: a part of the prompt crashes engines")
	}
	return fault.New(code.PromptHeld, "engines crashed under requests with a part of the prompt")
}

// recordLoss records that the leased engine lost the request before its first event,
// unless the caller has left.
func (x *exchange) recordLoss(ctx context.Context, lease *dispatcher.Lease) {
	if x.isStream() && ctx.Err() == nil {
		x.preparer.RecordLoss(lease.Endpoint.Name, x.request)
	}
}

func (x *exchange) recordBegun() {
	for _, g := range x.quarantine.RecordBegun(x.request.Prompt, time.Now()) {
		x.log.Info("verdict on prompt parts changed", "parts", g.Parts, "held", g.Held(), "reason", "an answer has begun", "request", x.request.ID)
	}
}
