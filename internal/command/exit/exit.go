// Package exit provides errors that choose the exit status of a command.
package exit

// This file defines Error and Status.

import "errors"

// Exit statuses of the operators' client.
const (
	OK       = 0
	Failed   = 1 // the command could not be carried out
	Negative = 2 // it was carried out, and the answer is no: problems, differences, broken promises
)

// Error ends the command with a status of its own.
type Error struct {
	Status int
	Cause  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the exit status for what a command returned.
func Status(err error) int {
	var e *Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &e):
		return e.Status
	default:
		return Failed
	}
}
