package matrix

// This file defines Step and lists the steps.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Step is one point of a request's way, or one operation, at which a fault comes.
type Step struct {
	Name   string
	Stage  string // calls that an endpoint fault meets; empty for all
	At     int    // the point of such a call at which other faults come
	Victim int    // the daemon that instance faults hit

	act func(ctx context.Context, r *run)
}

// Names of the steps in the order of the matrix.
const (
	TicketIssue = "ticket issue"
	Admission   = "admission"
	Encode      = "encode"
	Retrieve    = "retrieve"
	Rerank      = "rerank"
	FirstToken  = "first token"
	MidStream   = "mid-stream"
	Read        = "idempotent call"
	BeforeSend  = "non-idempotent call before send"
	AfterSend   = "non-idempotent call after send"
	OnItsWay    = "answer on its way"
	TableChange = "table change"
	Drain       = "drain"
	Order       = "placement order"
	Stop        = "graceful stop"
)

const (
	midStream = 3 // tokens of a stream before the fault comes
	issuer    = 0 // the daemon that a step's request goes to
	other     = 1 // the daemon that repeats go to
	last      = 2 // the daemon that keeps its platform when the others lose theirs
)

// Steps lists every step.
var Steps = []Step{
	{Name: TicketIssue, act: actTicket},
	{Name: Admission, act: actAdmission},
	{Name: Encode, Stage: " encode", At: trouble.Arrival, act: actPipeline},
	{Name: Retrieve, Stage: " retrieve", At: trouble.Arrival, act: actPipeline},
	{Name: Rerank, Stage: " rerank", At: trouble.Arrival, act: actPipeline},
	{Name: FirstToken, Stage: " generate", At: trouble.Arrival, act: actPipeline},
	{Name: MidStream, Stage: " generate", At: midStream, act: actPipeline},
	{Name: Read, Stage: " GET ", At: trouble.Arrival, act: actRead},
	{Name: BeforeSend, Stage: " POST /bookings", act: actBeforeSend},
	{Name: AfterSend, Stage: " POST /bookings", At: trouble.Arrival, act: actBooking},
	{Name: OnItsWay, Stage: " POST /bookings", At: trouble.Done, act: actBooking},
	{Name: TableChange, act: actTable},
	{Name: Drain, act: actDrain},
	{Name: Order, act: actOrder},
	{Name: Stop, Victim: last, act: actStop},
}

// hook makes the fault come when the step's call reaches its point.
func (r *run) hook() {
	r.trouble.Hook(trouble.Hook{Stage: r.cell.Step.Stage, At: r.cell.Step.At, Do: r.strike})
}

func actTicket(ctx context.Context, r *run) {
	go r.strike()
	r.book(ctx, issuer, other)
}

func actAdmission(ctx context.Context, r *run) {
	go r.strike()
	r.pipeline(ctx, issuer)
}

func actPipeline(ctx context.Context, r *run) {
	r.hook()
	r.pipeline(ctx, issuer)
}

func actRead(ctx context.Context, r *run) {
	r.hook()
	r.read(ctx, issuer)
}

// actBeforeSend gets a ticket first, so that the fault comes with the call.
func actBeforeSend(ctx context.Context, r *run) {
	ticket, o := r.callers.Ticket(ctx, r.base(issuer))
	r.note(issuer, o)
	if ticket == "" {
		return
	}
	r.strike()
	r.useTicket(ctx, ticket, issuer, other)
}

func actBooking(ctx context.Context, r *run) {
	r.hook()
	r.book(ctx, issuer, other)
}

func actTable(ctx context.Context, r *run) {
	r.operate(func() {
		r.publish(func(s *fleettable.Table) { s.Accounts[0].Weight++ })
	})
	r.pipeline(ctx, issuer)
}

// actDrain holds a request in its first stage until the emptying is in force.
func actDrain(ctx context.Context, r *run) {
	r.operate(func() {
		r.publish(func(s *fleettable.Table) { s.Centres[len(s.Centres)-1].Weight = 0 })
	})
	r.holdUntilInForce()
	r.pipeline(ctx, last)
	r.pipeline(ctx, other)
	r.book(ctx, other)
}

// actOrder wants another model on one engine and none of the first.
func actOrder(ctx context.Context, r *run) {
	r.operate(func() { r.publish(r.moveModel) })
	r.pipeline(ctx, issuer)
}

func (r *run) moveModel(s *fleettable.Table) {
	for i := range s.Endpoints {
		if s.Endpoints[i].Name == r.cell.moved() {
			s.Endpoints[i].Models = []string{secondModel}
		}
	}
}

// operate makes the fault come with an operator's change: before it where the
// change must find its way around the fault, else at once after it.
func (r *run) operate(change func()) {
	if r.cell.hits(AtPlatform, AtList, AtPeers) {
		r.strike()
		change()
		return
	}
	change()
	r.strike()
}

// actStop stops a daemon while a stream and a booking are in flight there, both
// held until the balancer's time is over.
func actStop(ctx context.Context, r *run) {
	hold := func() { time.Sleep(3 * drainWait) }
	r.trouble.Hook(trouble.Hook{Stage: " generate", At: midStream, Do: hold})
	r.trouble.Hook(trouble.Hook{Stage: " POST /bookings", At: trouble.Arrival, Do: hold})
	streams := r.async(func() { r.pipeline(ctx, issuer) })
	bookings := r.async(func() { r.book(ctx, issuer, other) })
	r.strike()
	r.stop(ctx, issuer)
	streams()
	bookings()
}

// requests of a cell.

func (r *run) pipeline(ctx context.Context, i int) caller.Outcome {
	return r.note(i, r.callers.Pipeline(ctx, r.base(i), r.table.Pipeline(pipelineName), r.input(), true, r.deadline()))
}

// chat makes a chat of the usual account or of the capped one.
func (r *run) chat(ctx context.Context, i int, capped bool) caller.Outcome {
	p := r.table.Pipeline(pipelineName)
	turns := []caller.Message{{Role: "user", Content: r.input()}}
	c := r.callers
	if capped {
		c = r.capped
	}
	o := c.Chat(ctx, r.base(i), firstModel, p, turns, false, r.deadline())
	if capped {
		r.lock(func() { r.ofCapped[o.Request] = true })
	}
	return r.note(i, o)
}

func (r *run) read(ctx context.Context, i int) caller.Outcome {
	return r.note(i, r.callers.Read(ctx, r.base(i), serviceName, "/status", r.deadline()))
}

// book makes a booking with a ticket of the first daemon, and repeats it at the others.
func (r *run) book(ctx context.Context, first int, repeats ...int) {
	ticket, o := r.callers.Ticket(ctx, r.base(first))
	r.note(first, o)
	if ticket != "" {
		r.useTicket(ctx, ticket, append([]int{first}, repeats...)...)
	}
}

// useTicket sends the same booking to several daemons, each once the one before answered.
func (r *run) useTicket(ctx context.Context, ticket string, at ...int) {
	body := r.input()
	for _, i := range at {
		r.note(i, r.callers.Book(ctx, r.base(i), serviceName, "/bookings", ticket, body, r.deadline()))
	}
}
