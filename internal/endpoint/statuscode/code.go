// Package statuscode says what the status code of an HTTP response means for the exchange that it belongs to.
// Clients of HTTP take any three digits for one.
package statuscode

// This file defines Code.

import "net/http"

// Code is the status code of a response.
type Code int

// The first and the last code that HTTP defines a class for.
const (
	first Code = 100
	last  Code = 599
)

// IsInterim reports whether another response to the same request follows. None does after status 101, which ends
// the use of HTTP on the connection; no request here asks for that.
func (c Code) IsInterim() bool {
	return c >= first && c < http.StatusOK && c != http.StatusSwitchingProtocols
}

// IsFinal reports whether the response can be the answer to a request.
func (c Code) IsFinal() bool { return c >= http.StatusOK && c <= last }
