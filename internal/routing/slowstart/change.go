package slowstart

// This file defines Change and Reason.

import "fmt"

// Change is a change of what this instance believes of one endpoint.
type Change struct {
	Endpoint string // name of its process
	Ended    bool   // it no longer starts slowly
	Reason   Reason
	Returns  int // within flapWindow, up to maxReturns
}

// Reason is why an endpoint starts slowly, or no longer does.
type Reason int

const (
	// Started means that a new process was registered.
	Started Reason = iota + 1
	// Returned means that the endpoint was out of use for a time.
	Returned
	// Failed means that it failed a request of some instance while it started slowly.
	Failed
	// Answered means that it answered some instance.
	Answered
	// TimePassed means that all instances may call it as time has passed.
	TimePassed
)

var reasonNames = [...]string{Started: "started", Returned: "returned", Failed: "failed", Answered: "answered", TimePassed: "time passed"}

// String returns the name used in logs.
func (r Reason) String() string {
	if r < Started || r > TimePassed {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}
