package store

// This file defines Flight and Outcome.

import (
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// Outcome is how a call under a ticket ended: a reply, or a fault.
type Outcome struct {
	Reply client.Reply
	Fault *fault.Fault // nil for a reply
}

func (o Outcome) size() int64 {
	n := len(o.Reply.Type) + len(o.Reply.Body)
	if o.Fault != nil {
		n += len(o.Fault.Detail)
	}
	return int64(n)
}

// Flight is a claimed call on its way to an outcome.
type Flight struct {
	done    chan struct{}
	outcome Outcome
}

func newFlight() *Flight { return &Flight{done: make(chan struct{})} }

// Done is closed once Outcome may be read.
func (f *Flight) Done() <-chan struct{} { return f.done }

// Outcome returns how the call ended. It is valid once Done is closed.
func (f *Flight) Outcome() Outcome { return f.outcome }

func (f *Flight) end(o Outcome) {
	f.outcome = o
	close(f.done)
}

func (f *Flight) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
