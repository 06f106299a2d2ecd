package plan

// This file decides whether an order is sent.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// takeoverDelay is how long an engine must differ from the table, for each rank of
// the instance, before that instance sends the order. It leaves the instances of
// higher rank the time to send it first.
const takeoverDelay = 2 * time.Minute

// State is what an engine reports about itself.
type State struct {
	At      revision.Revision // fencing number of the last order that the engine followed
	Role    string
	Models  []Model
	Loading bool
}

// Reason says why an order is sent or not.
type Reason int

// Reasons. Differs is the only one for which an order is sent.
const (
	Differs Reason = iota
	UpToDate
	NewerTable
	Loading
	HigherRankExpected
	InstanceLeaving
	NoStoreSlot
	TooManyLoading
)

var reasons = [...]string{
	Differs:            "the engine differs from the table",
	UpToDate:           "the engine holds what the table wants",
	NewerTable:         "the engine follows a newer table",
	Loading:            "the engine is loading what the table wants",
	HigherRankExpected: "an issuer of higher rank is expected to order",
	InstanceLeaving:    "the engine's instance is leaving",
	NoStoreSlot:        "the weight store's slot belongs to another issuer or is used up",
	TooManyLoading:     "too many engines of the same model are loading",
}

// String returns the text of the reason in the log.
func (r Reason) String() string { return reasons[r] }

// DecisionInput is what Decide depends on.
type DecisionInput struct {
	Order              Order
	State              State
	Rank               int           // rank of this instance for the engine; 0 is the highest
	DiffersFor         time.Duration // how long this instance has seen the engine differ from the order
	InstanceLeaving    bool          // the platform's list of instances marks the engine as leaving
	SlotAllows         bool          // the order can be loaded within this instance's slot of the weight store
	AvailabilityAllows bool          // enough engines of each of its models stay available during the load
}

// Decide returns Differs if the order must be sent now, and otherwise the reason why
// not. An engine that follows a newer table gets no order, so that the order of an
// older table does no harm even if the engine does not check fencing numbers.
func Decide(in DecisionInput) Reason {
	newer := revision.Revision{Epoch: in.State.At.Epoch, Version: in.State.At.Version}.
		After(revision.Revision{Epoch: in.Order.At.Epoch, Version: in.Order.At.Version})
	matches := in.Order.Matches(in.State.Role, in.State.Models)
	switch {
	case newer:
		return NewerTable
	case matches && in.State.Loading:
		return Loading
	case matches:
		return UpToDate
	case in.InstanceLeaving:
		return InstanceLeaving
	case in.DiffersFor < time.Duration(in.Rank)*takeoverDelay:
		return HigherRankExpected
	case !in.AvailabilityAllows:
		return TooManyLoading
	case !in.SlotAllows:
		return NoStoreSlot
	default:
		return Differs
	}
}
