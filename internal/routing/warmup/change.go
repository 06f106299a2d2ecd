package warmup

// This file defines Change and Source.

import (
	"fmt"
	"time"
)

// Change is a change of what this instance believes of one endpoint.
type Change struct {
	Endpoint string // name of the endpoint's process
	Service  string
	Cold     bool
	Left     time.Duration // for which it stays cold
	Rate     float64       // requests a second from all instances together; zero unless Cold
	Source   Source        // that tells the latest end
}

// Source is what tells that an endpoint is cold.
type Source int

const (
	// Start is the start time of the endpoint's process.
	Start Source = iota
	// Registration is the endpoint's registration.
	Registration
	// Answer is a response of the endpoint.
	Answer
)

var sourceNames = [...]string{Start: "start", Registration: "registration", Answer: "answer"}

// String returns the name used in logs.
func (s Source) String() string {
	if s < Start || s > Answer {
		return fmt.Sprintf("source(%d)", int(s))
	}
	return sourceNames[s]
}
