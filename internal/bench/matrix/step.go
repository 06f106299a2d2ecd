package matrix

// This file defines Step, lists the steps and sends the requests of cells.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Step is a point in the processing of a request, or an operator's change, at which
// a cell injects its fault.
type Step struct {
	Name   string
	Stage  string // selects the calls that an endpoint fault affects, as in faultinject.Fault; empty for all
	At     int    // point of such a call at which the other faults are injected, as in faultinject.Hook
	Victim int    // number of the daemon that instance faults affect

	// act sends the step's requests or makes its change, and injects the faults.
	act func(ctx context.Context, r *run)
}

// Names of the steps, in the order of the matrix.
const (
	TicketIssue     = "ticket issue"
	Admission       = "admission"
	Encode          = "encode"
	Retrieve        = "retrieve"
	Rerank          = "rerank"
	FirstToken      = "first token"
	MidStream       = "mid-stream"
	Read            = "idempotent call"
	BeforeSend      = "non-idempotent call before send"
	AfterSend       = "non-idempotent call after send"
	AnswerInTransit = "answer on its way"
	TableChange     = "table change"
	Drain           = "drain"
	Order           = "placement order"
	Stop            = "graceful stop"
)

const (
	midStreamToken = 3 // number of tokens of a stream before the fault
	firstDaemon    = 0 // gets the step's request
	secondDaemon   = 1 // gets repeats of requests
	lastDaemon     = 2 // is not affected by faults of the platform
)

// Steps lists every step, in the order of the matrix.
var Steps = []Step{
	{Name: TicketIssue, act: actTicket},
	{Name: Admission, act: actAdmission},
	{Name: Encode, Stage: " encode", At: faultinject.Arrival, act: actPipeline},
	{Name: Retrieve, Stage: " retrieve", At: faultinject.Arrival, act: actPipeline},
	{Name: Rerank, Stage: " rerank", At: faultinject.Arrival, act: actPipeline},
	{Name: FirstToken, Stage: " generate", At: faultinject.Arrival, act: actPipeline},
	{Name: MidStream, Stage: " generate", At: midStreamToken, act: actPipeline},
	{Name: Read, Stage: " GET ", At: faultinject.Arrival, act: actRead},
	{Name: BeforeSend, Stage: " POST /bookings", act: actBeforeSend},
	{Name: AfterSend, Stage: " POST /bookings", At: faultinject.Arrival, act: actBooking},
	{Name: AnswerInTransit, Stage: " POST /bookings", At: faultinject.Done, act: actBooking},
	{Name: TableChange, act: actTable},
	{Name: Drain, act: actDrain},
	{Name: Order, act: actOrder},
	{Name: Stop, Victim: lastDaemon, act: actStop},
}

// hookFaults injects the faults when a call of the step's stage reaches the step's
// point.
func (r *run) hookFaults() {
	r.injector.Hook(faultinject.Hook{Stage: r.cell.Step.Stage, At: r.cell.Step.At, Do: r.injectFaults})
}

func actTicket(ctx context.Context, r *run) {
	go r.injectFaults()
	r.book(ctx, firstDaemon, secondDaemon)
}

func actAdmission(ctx context.Context, r *run) {
	go r.injectFaults()
	r.pipeline(ctx, firstDaemon)
}

func actPipeline(ctx context.Context, r *run) {
	r.hookFaults()
	r.pipeline(ctx, firstDaemon)
}

func actRead(ctx context.Context, r *run) {
	r.hookFaults()
	r.read(ctx, firstDaemon)
}

// actBeforeSend gets a ticket before it injects the faults, so that these affect
// the call that uses the ticket.
func actBeforeSend(ctx context.Context, r *run) {
	ticket, o := r.callers.Ticket(ctx, r.baseURL(firstDaemon))
	r.record(firstDaemon, o)
	if ticket == "" {
		return
	}
	r.injectFaults()
	r.useTicket(ctx, ticket, firstDaemon, secondDaemon)
}

func actBooking(ctx context.Context, r *run) {
	r.hookFaults()
	r.book(ctx, firstDaemon, secondDaemon)
}

func actTable(ctx context.Context, r *run) {
	r.changeUnderFault(func() {
		r.publish(func(t *fleettable.Table) { t.Accounts[0].Weight++ })
	})
	r.pipeline(ctx, firstDaemon)
}

// actDrain empties a data centre, and holds a request in its first stage until that
// is in force.
func actDrain(ctx context.Context, r *run) {
	r.changeUnderFault(func() {
		r.publish(func(t *fleettable.Table) { t.Centres[len(t.Centres)-1].Weight = 0 })
	})
	r.holdUntilInForce()
	r.pipeline(ctx, lastDaemon)
	r.pipeline(ctx, secondDaemon)
	r.book(ctx, secondDaemon)
}

// actOrder assigns another model to one engine, in place of the first.
func actOrder(ctx context.Context, r *run) {
	r.changeUnderFault(func() { r.publish(r.moveModel) })
	r.pipeline(ctx, firstDaemon)
}

func (r *run) moveModel(t *fleettable.Table) {
	for i := range t.Endpoints {
		if t.Endpoints[i].Name == r.cell.movedEngine() {
			t.Endpoints[i].Models = []string{secondModel}
		}
	}
}

// changeUnderFault makes an operator's change and injects the faults: before the
// change where the faults can delay its way to the daemons, else at once after it.
func (r *run) changeUnderFault(change func()) {
	if r.cell.hasGroup(AtPlatform, AtList, AtPeers) {
		r.injectFaults()
		change()
		return
	}
	change()
	r.injectFaults()
}

// actStop stops a daemon while a stream and a booking are in flight there. Both are
// held longer than the daemon accepts requests, which is for four drain times at most,
// so that they are still in flight when it begins to close.
func actStop(ctx context.Context, r *run) {
	hold := func() { time.Sleep(6 * drainTime) }
	r.injector.Hook(faultinject.Hook{Stage: " generate", At: midStreamToken, Do: hold})
	r.injector.Hook(faultinject.Hook{Stage: " POST /bookings", At: faultinject.Arrival, Do: hold})
	waitStream := r.async(func() { r.pipeline(ctx, firstDaemon) })
	waitBooking := r.async(func() { r.book(ctx, firstDaemon, secondDaemon) })
	r.injectFaults()
	r.stop(ctx, firstDaemon)
	waitStream()
	waitBooking()
}

// The methods below send the requests of a cell and record their outcomes.

// pipeline sends a pipeline request with a streamed answer to daemon i.
func (r *run) pipeline(ctx context.Context, i int) caller.Outcome {
	return r.record(i, r.callers.Pipeline(ctx, r.baseURL(i), r.table.Pipeline(pipelineName), r.input(), true, r.deadline()))
}

// chat sends a chat completion of the account with a cap or of the one without.
func (r *run) chat(ctx context.Context, i int, capped bool) caller.Outcome {
	p := r.table.Pipeline(pipelineName)
	messages := []caller.Message{{Role: "user", Content: r.input()}}
	c := r.callers
	if capped {
		c = r.capped
	}
	o := c.Chat(ctx, r.baseURL(i), firstModel, p, messages, false, r.deadline())
	if capped {
		r.withLock(func() { r.isCapped[o.RequestID] = true })
	}
	return r.record(i, o)
}

// read sends an idempotent call to daemon i.
func (r *run) read(ctx context.Context, i int) caller.Outcome {
	return r.record(i, r.callers.Read(ctx, r.baseURL(i), serviceName, "/status", r.deadline()))
}

// book makes a booking at daemon first, with a ticket issued there, and repeats it
// at the others.
func (r *run) book(ctx context.Context, first int, repeats ...int) {
	ticket, o := r.callers.Ticket(ctx, r.baseURL(first))
	r.record(first, o)
	if ticket != "" {
		r.useTicket(ctx, ticket, append([]int{first}, repeats...)...)
	}
}

// useTicket sends the same booking to several daemons one after another.
func (r *run) useTicket(ctx context.Context, ticket string, at ...int) {
	body := r.input()
	for _, i := range at {
		r.record(i, r.callers.Book(ctx, r.baseURL(i), serviceName, "/bookings", ticket, body, r.deadline()))
	}
}
