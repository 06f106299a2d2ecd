// Package wire is the seam between the proxy and the words of a platform: how
// requests to endpoints are headed, and what their answers say.
package wire

// This file defines Wire and Send.

import (
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
)

// Send is what one request to an endpoint says beyond the caller's own headers.
type Send struct {
	Endpoint *fleet.Endpoint
	Left     time.Duration // that the endpoint may take
	Inputs   []string      // handles of the results that it reads
	Staged   bool          // whether the route has stages, so that inputs are named even if there are none
	Resume   string        // id of the last event that is not wanted again; empty for none
}

// Wire spells requests and reads the heads of answers. Its methods are safe
// for concurrent use.
type Wire interface {
	// Header returns the headers of a request to an endpoint.
	Header(c *call.Call, s Send) http.Header
	// Own reports whether an answer belongs to the call.
	Own(c *call.Call, h http.Header) bool
	// Refused reports whether the endpoint says that it did not run the request.
	Refused(status int, h http.Header) bool
	// Signed reports whether an answer bears an endpoint's signature.
	Signed(h http.Header) bool
	// Promise reports whether a status promises callers that nothing ran.
	Promise(status int) bool
	// Load returns the load that an answer reports, if it does.
	Load(h http.Header) (board.Load, bool)
	// Onward removes from an answer's headers what does not concern the caller.
	Onward(h http.Header)
}
