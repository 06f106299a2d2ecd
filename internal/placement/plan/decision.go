package plan

// This file decides whether an order is issued.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// patience is how long an engine differs before the next issuer in rank acts.
const patience = 2 * time.Minute

// State is what an engine says of itself.
type State struct {
	At      revision.Revision // fencing number of the order that it followed last
	Role    string
	Models  []Model
	Loading bool
}

// Reason says why an order is issued or not.
type Reason int

// Reasons. Differs is the only one for which an order is issued.
const (
	Differs Reason = iota
	Holds
	Newer
	Busy
	Deputy
	Leaving
	Paced
	Capacity
)

var reasons = [...]string{
	Differs:  "the engine differs from the table",
	Holds:    "the engine holds what the table wants",
	Newer:    "the engine follows a newer table",
	Busy:     "the engine is loading what the table wants",
	Deputy:   "an issuer of higher rank is expected to order",
	Leaving:  "the engine's instance is leaving",
	Paced:    "the weight store's slot belongs to another issuer or is used up",
	Capacity: "too many engines of the same model are loading",
}

// String returns the text for the log.
func (r Reason) String() string { return reasons[r] }

// Situation is what a decision is taken from.
type Situation struct {
	Order   Order
	State   State
	Rank    int           // of this issuer for the endpoint, 0 for the first
	Since   time.Duration // how long the engine has differed, as seen here
	Leaving bool          // the platform says that its instance is leaving
	Slot    bool          // the weight store's slot has room for the order
	Room    bool          // loading it leaves enough engines of each of its models
}

// Decide returns Differs where the order should be issued now, and else why not.
// An engine that follows a newer table is left alone, also one that does not
// check fencing numbers itself.
func Decide(s Situation) Reason {
	newer := revision.Revision{Epoch: s.State.At.Epoch, Version: s.State.At.Version}.
		After(revision.Revision{Epoch: s.Order.At.Epoch, Version: s.Order.At.Version})
	same := s.Order.Same(s.State.Role, s.State.Models)
	switch {
	case newer:
		return Newer
	case same && s.State.Loading:
		return Busy
	case same:
		return Holds
	case s.Leaving:
		return Leaving
	case s.Since < time.Duration(s.Rank)*patience:
		return Deputy
	case !s.Room:
		return Capacity
	case !s.Slot:
		return Paced
	default:
		return Differs
	}
}
