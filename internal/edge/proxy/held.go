package proxy

// This file handles requests that crash endpoints.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

const (
	// spareForSuspect is how many endpoints of the service must be left to other requests while
	// one runs a request under which an endpoint crashed not long ago.
	spareForSuspect = 1
	// spareForRepeat is the same for the repeat of a request that has just crashed an endpoint:
	// equal requests may come at instances that do not know of it yet.
	spareForRepeat = 2
	// riskRetryAfter is the time after which endpoints that crashed should be back.
	riskRetryAfter = 2 * time.Second
)

// subject returns what the quarantine knows the request by.
func (x *exchange) subject() quarantine.Subject {
	if x.known.Fingerprint == 0 {
		x.known = quarantine.SubjectOf(x.request)
	}
	return x.known
}

// isHeld reports whether the request must not be sent. Repeats and requests that waited are
// checked too, since the verdict may have come meanwhile.
func (x *exchange) isHeld() bool {
	if x.prepared.Trial || x.quarantine.Empty() {
		return false
	}
	held, _ := x.quarantine.Holds(x.subject())
	return held
}

// heldFault returns the fault of a request that is held back.
func (x *exchange) heldFault() error {
	_, whole := x.quarantine.Holds(x.subject())
	switch {
	case x.mayHaveRun && whole:
		return fault.New(code.AnswerLost, "not repeated: endpoints crashed under equal requests")
	case x.mayHaveRun:
		return fault.New(code.AnswerLost, "not repeated: a part of the prompt crashes engines")
	case whole:
		return fault.New(code.RequestHeld, "endpoints crashed under equal requests")
	default:
		return fault.New(code.PromptHeld, "engines crashed under requests with a part of the prompt")
	}
}

// endangersService reports whether the request, under which an endpoint crashed not long ago,
// would leave too few endpoints of its service to others if the leased one crashed too. A trial
// never does, since there are few of them.
func (x *exchange) endangersService(lease *dispatcher.Lease) bool {
	if x.prepared.Trial || x.quarantine.Empty() {
		return false
	}
	now := time.Now()
	_, recent := x.quarantine.IsSuspect(x.subject().Fingerprint, now)
	if !recent && !x.crashed {
		return false
	}
	spare := 0
	for _, e := range x.index().Accepting(x.request.Service) {
		if name := e.Name(); name != lease.Endpoint.Name && !x.quarantine.HasCrashed(name, now) && !x.dispatcher.IsFailing(name) {
			spare++
		}
	}
	return spare < spareForSuspect || x.crashed && spare < spareForRepeat
}

// riskFault returns the fault of a request that is not sent as it endangers its service.
func (x *exchange) riskFault() error {
	if x.mayHaveRun {
		return fault.New(code.AnswerLost, "not repeated: an endpoint crashed under the request, and few are left")
	}
	f := fault.New(code.RequestHeld, "an endpoint crashed under an equal request, and few are left")
	f.RetryAfter = riskRetryAfter
	return f
}

// recordLoss records that an endpoint lost the request, unless the caller has left. begun says
// whether its answer had begun.
func (x *exchange) recordLoss(ctx context.Context, e *registry.Endpoint, err error, begun bool) {
	kind := failure.KindOf(err)
	crashed := kind == failure.Crashed
	if ctx.Err() != nil || !crashed && (kind != failure.Lost || begun || !x.isStream()) {
		return
	}
	if !x.request.Relayed && x.paths.Prober.Confirm(ctx, x.request.Service) && x.paths.Reach.IsPartitioned() {
		return // without a path, all endpoints seem to have crashed
	}
	x.preparer.RecordLoss(x.request.ID, quarantine.NewLoss(e.Name(), x.subject(), begun, crashed, time.Now()))
}

// recordBegun records that the answer to the request has begun.
func (x *exchange) recordBegun() {
	for _, g := range x.quarantine.RecordBegun(quarantine.Subject{Prompt: x.request.Prompt}, time.Now()) {
		x.log.Info("verdict on requests changed", "features", g.Parts, "held", g.Held(), "reason", "an answer has begun", "request", x.request.ID)
	}
}

// recordCompleted records that the request was answered completely, if that clears it.
func (x *exchange) recordCompleted() {
	if x.quarantine.Empty() {
		return
	}
	s := x.subject()
	suspect, _ := x.quarantine.IsSuspect(s.Fingerprint, time.Now())
	if _, whole := x.quarantine.Holds(s); suspect || whole {
		x.preparer.RecordClearance(quarantine.Clearance{Fingerprint: s.Fingerprint, At: time.Now()})
	}
}
