package pace

// This file defines Change and Reason.

import "fmt"

// Change is a change of what this instance believes of one endpoint.
type Change struct {
	Endpoint  string // name of the endpoint's process
	Recovered bool
	Reason    Reason  // why it is not recovered, or was not
	Window    float64 // unanswered requests that it may have
	Returns   int     // within the last flapWindow
}

// Reason is why an endpoint has to show its pace.
type Reason int

const (
	// Started means that a new process was registered.
	Started Reason = iota + 1
	// Returned means that the endpoint was out of use for a time.
	Returned
	// Cold means that the endpoint got cold.
	Cold
	// Failed means that it failed a request.
	Failed
)

var reasonNames = [...]string{Started: "started", Returned: "returned", Cold: "cold", Failed: "failed"}

// String returns the name used in logs.
func (r Reason) String() string {
	if r < Started || r > Failed {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}
