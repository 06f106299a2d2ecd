package ratelimit

// This file defines Claim.

import "time"

// Claim is what an answer of an endpoint says about the limit of its requests.
type Claim struct {
	Endpoint string  // name of the endpoint's process
	Limited  bool    // whether the answer named a limit
	Rate     float64 // requests a second from all instances together; zero unless Limited
	// At is the time at which an answer with a limit arrived. For an answer without one it is
	// the time at which its request was sent: the endpoint ended a limit only if it had named
	// it before.
	At time.Time
}

// supersedes reports whether the claim holds although the endpoint made the other one.
func (c Claim) supersedes(other Claim) bool {
	return c.At.After(other.At) || c.Limited && c.At.Equal(other.At)
}

// sameLimit reports whether two claims say the same.
func (c Claim) sameLimit(other Claim) bool { return c.Limited == other.Limited && c.Rate == other.Rate }
