// Package fault provides the error that ends a request.
package fault

// This file defines Fault.

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// Fault is a refusal or failure with its numbered code.
type Fault struct {
	Code   code.Code
	Detail string        // for people; never holds a secret
	After  time.Duration // when the caller may try again; zero where the wait is unknown
	Cause  error         // nil where the fault starts here
}

var _ error = (*Fault)(nil)

// New returns a fault whose detail is formatted as by fmt.Sprintf.
func New(c code.Code, format string, args ...any) *Fault {
	return &Fault{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a fault that keeps its cause.
func Wrap(c code.Code, cause error, format string, args ...any) *Fault {
	f := New(c, format, args...)
	f.Cause = cause
	return f
}

// From returns the fault within err, or err wrapped as an internal fault.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Wrap(code.Internal, err, "unexpected error")
}

// Error returns the code, the detail and the cause.
func (f *Fault) Error() string {
	s := fmt.Sprintf("%d %s: %s", int(f.Code), f.Code, f.Detail)
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }
