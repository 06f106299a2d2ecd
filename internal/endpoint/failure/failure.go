// Package failure provides the error of a call to an endpoint. Its kind says
// whether the call may have been executed, which decides whether it may be sent
// again.
package failure

// This file defines Failure and Kind.

import (
	"errors"
	"fmt"
)

// Kind classifies failures by what is known about the execution of the call.
type Kind int

const (
	// Unsent means that no byte of the call was written to a connection.
	Unsent Kind = iota + 1
	// Refused means that the endpoint reported that it did not run the call.
	Refused
	// Errored means that the endpoint ran the call and reported an error.
	Errored
	// Lost means that the call was sent but no complete response arrived, so
	// that it may have run.
	Lost
	// Foreign means that the response carries the identity of another call.
	Foreign
	// Late means that the deadline passed, or the caller cancelled, after the
	// call was sent.
	Late
	// Crashed means Lost, and that the endpoint refuses connections since: its process
	// has ended.
	Crashed
)

var names = [...]string{
	Unsent:  "unsent",
	Refused: "refused",
	Errored: "errored",
	Lost:    "lost",
	Foreign: "foreign",
	Late:    "late",
	Crashed: "crashed",
}

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	if k < Unsent || k > Crashed {
		return fmt.Sprintf("kind(%d)", int(k))
	}
	return names[k]
}

// Failure is the error of a call to an endpoint.
type Failure struct {
	Kind   Kind
	Detail string
	Cause  error // may be nil
}

var _ error = (*Failure)(nil)

// New returns a failure with its cause, which may be nil.
func New(k Kind, cause error, format string, args ...any) *Failure {
	return &Failure{Kind: k, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// KindOf returns the kind of the Failure that err wraps. If there is none, it
// returns Lost, since the call may then have run.
func KindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return Lost
}

// Error returns the kind, the detail and the cause.
func (f *Failure) Error() string {
	s := f.Kind.String() + ": " + f.Detail
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

func (f *Failure) Unwrap() error { return f.Cause }
