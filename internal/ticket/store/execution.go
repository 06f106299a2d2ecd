package store

// This file defines Execution and Outcome.

import (
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// Outcome is the result of a call that used a ticket: a reply or a fault.
type Outcome struct {
	Reply client.Reply
	Fault *fault.Fault // nil for a reply
}

// size returns the bytes that count against Options.
func (o Outcome) size() int64 {
	n := len(o.Reply.ContentType) + len(o.Reply.Body)
	if o.Fault != nil {
		n += len(o.Fault.Detail)
	}
	return int64(n)
}

// Execution is the single execution of a ticket's call. Everyone who sends the
// call with this ticket waits for it.
type Execution struct {
	done    chan struct{}
	outcome Outcome
}

func newExecution() *Execution { return &Execution{done: make(chan struct{})} }

// Done returns a channel that is closed when the outcome is available.
func (x *Execution) Done() <-chan struct{} { return x.done }

// Outcome returns the result of the call. It is valid only after Done is closed.
func (x *Execution) Outcome() Outcome { return x.outcome }

func (x *Execution) finish(o Outcome) {
	x.outcome = o
	close(x.done)
}

func (x *Execution) isFinished() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
