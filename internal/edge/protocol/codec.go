// Package protocol defines how the proxy communicates with the endpoints of a
// platform: the headers of requests to endpoints, and the meaning of the status
// and headers of their responses.
package protocol

// This file defines Codec and Attempt.

import (
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
)

// Attempt describes one attempt to run a request on an endpoint, beyond what the
// caller's own headers say.
type Attempt struct {
	Endpoint    *registry.Endpoint
	TimeLeft    time.Duration // time that the endpoint may take
	Inputs      []string      // handles of the stage results that the endpoint reads
	HasStages   bool          // whether the route has stages, so that the header for inputs is sent even if there are none
	LastEventID string        // id of the last event that the caller has received; empty if none
}

// RelayAttempt describes a request that another instance serves for this one.
type RelayAttempt struct {
	TimeLeft    time.Duration // time that the other instance may take
	LastEventID string        // as in Attempt
	Resumes     string        // id of the request that brought the first event; empty if none did
	Runs        int           // sends after which the request may have run
	Recorded    bool          // whether a retry budget has the request as a first attempt
	Origin      origin.Origin // of the stream of which the caller holds events; unknown if it holds none
}

// Codec encodes the headers of requests to endpoints and interprets the status
// and headers of responses. Its methods are safe for concurrent use.
type Codec interface {
	// RequestHeader returns the headers of a request to an endpoint.
	RequestHeader(req *request.Request, a Attempt) http.Header
	// Matches reports whether a response with the given headers belongs to the
	// request.
	Matches(req *request.Request, h http.Header) bool
	// Refused reports whether the response says that the endpoint did not run
	// the request.
	Refused(status int, h http.Header) bool
	// Signed reports whether the response carries an endpoint's signature, so
	// that it does not come from an intermediary.
	Signed(h http.Header) bool
	// ImpliesNotRun reports whether callers take a status to mean that the
	// request did not run. The proxy does not relay responses with such a status.
	ImpliesNotRun(status int) bool
	// Load returns the load that the response reports, if any.
	Load(h http.Header) (endpointstats.Load, bool)
	// Notice returns what the endpoint says of itself in the response. The error
	// says which header cannot be read; the rest of the notice holds.
	Notice(status int, h http.Header) (notice.Notice, error)
	// RelayHeader returns the headers of a request to another instance.
	RelayHeader(req *request.Request, a RelayAttempt) http.Header
	// RelayFault returns the fault that another instance answered with.
	RelayFault(status int, h http.Header, body []byte) *fault.Fault
	// StripInternal removes the response headers that are not meant for the
	// caller.
	StripInternal(h http.Header)
}
