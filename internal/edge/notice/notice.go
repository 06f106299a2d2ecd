package notice

// This file defines Notice and Limit.

import (
	"fmt"
	"time"
)

// Notice is what an endpoint says of itself in one response.
type Notice struct {
	Leaving bool
	Pause   time.Duration // zero for none
	Limit   Limit
	Full    bool          // the endpoint rejected the request for want of room
	WarmUp  time.Duration // for which the endpoint is cold; zero if the response does not tell it
	// Brittle is the number of requests a second that the endpoint bears to reject so, from all
	// instances together; zero if it names none.
	Brittle float64
	Rate    float64 // requests a second that the endpoint takes from all instances together; zero unless Limit is Named
}

// Limit is what a response says about the limit of the endpoint's requests.
type Limit int

const (
	// NoLimit means that the response names no limit.
	NoLimit Limit = iota
	// Named means that the response names a limit.
	Named
	// Untold means that the response does not tell whether there is a limit: what it names
	// can't be read, or another process sent it.
	Untold
)

var limitNames = [...]string{NoLimit: "no limit", Named: "named", Untold: "untold"}

// String returns the name used in messages.
func (l Limit) String() string {
	if l < NoLimit || l > Untold {
		return fmt.Sprintf("limit(%d)", int(l))
	}
	return limitNames[l]
}
