package picker

// This file defines Reason and Ground.

import (
	"fmt"
	"time"
)

// Ground tells reasons apart.
type Ground int

const (
	// Unknown is the ground of the zero Reason.
	Unknown Ground = iota
	// NoRow means that the table has no endpoint for the role and model.
	NoRow
	// Unusable means that all endpoints have weight zero, are leaving or were tried.
	Unusable
	// AtLimit means that all usable endpoints are at their concurrency limit.
	AtLimit
	// ByRule means that one of the plain rules chose.
	ByRule
	// Predicted means that the endpoint has the least predicted time and cost.
	Predicted
	// NoShare means that the limits of all rows leave nothing to this instance's seat.
	NoShare
	// Ejected means that only ejected endpoints were left.
	Ejected
	// Ordered means that the instance that gathers chose.
	Ordered
)

var grounds = [...]string{
	Unknown:   "unknown",
	NoRow:     "no endpoint in the table",
	Unusable:  "no usable endpoint",
	AtLimit:   "all endpoints at their limit",
	ByRule:    "plain rule",
	Predicted: "least predicted",
	NoShare:   "no share of any limit",
	Ejected:   "only ejected endpoints left",
	Ordered:   "chosen by the gathering instance",
}

// String returns the text used in logs.
func (g Ground) String() string {
	if g < Unknown || g > Ordered {
		return fmt.Sprintf("ground(%d)", int(g))
	}
	return grounds[g]
}

// Reason says why an endpoint was chosen, or why none was.
type Reason struct {
	Ground  Ground
	Wait    time.Duration // predicted wait at the endpoint
	Service time.Duration // predicted service time, without what the cache saves
	Load    float64       // predicted calls there, of all instances
	Held    int           // leading blocks of the prompt that the endpoint is believed to hold
	Blocks  int           // blocks of the prompt
	Seen    int           // candidates that were compared
	Of      int           // endpoints of the role and model
}

// String returns one line for the decision log.
func (r Reason) String() string {
	switch r.Ground {
	case Predicted, Ejected:
		return fmt.Sprintf("%s: wait %s, service %s, load %.1f, cached %d/%d, seen %d/%d",
			r.Ground, r.Wait.Round(time.Millisecond), r.Service.Round(time.Millisecond), r.Load,
			r.Held, r.Blocks, r.Seen, r.Of)
	default:
		return fmt.Sprintf("%s: seen %d/%d", r.Ground, r.Seen, r.Of)
	}
}
