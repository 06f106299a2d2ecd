// Package fault defines the error type with which a request is refused or fails.
// It carries the result code that the caller receives.
package fault

// This file defines Fault.

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// Fault is the error of a refused or failed request.
type Fault struct {
	Code       code.Code
	Detail     string        // for a human reader; sent to the caller, so it must not contain secrets
	RetryAfter time.Duration // delay before the caller may retry; zero if unknown
	Cause      error         // underlying error; nil if there is none
}

var _ error = (*Fault)(nil)

// New returns a fault whose detail is formatted as by fmt.Sprintf.
func New(c code.Code, format string, args ...any) *Fault {
	return &Fault{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a fault with an underlying error.
func Wrap(c code.Code, cause error, format string, args ...any) *Fault {
	f := New(c, format, args...)
	f.Cause = cause
	return f
}

// From returns the fault that err is or wraps. Any other error is wrapped in a
// fault with code.Internal.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Wrap(code.Internal, err, "unexpected error")
}

// Error returns the number and name of the code, the detail and the cause.
func (f *Fault) Error() string {
	s := fmt.Sprintf("%d %s: %s", int(f.Code), f.Code, f.Detail)
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error, or nil.
func (f *Fault) Unwrap() error { return f.Cause }
