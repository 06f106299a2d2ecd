// Package maker is the seam between the gathering of stage work and the way
// in which a platform's endpoints are asked for it.
package maker

// This file defines Maker, Item and Outcome.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
)

// Maker calls endpoints that make pieces. It is safe for concurrent use.
type Maker interface {
	// Make asks an endpoint for pieces, in one call. The error is a
	// *failure.Failure.
	Make(ctx context.Context, e *fleet.Endpoint, items []Item) (Answer, error)
	// Free tells an endpoint that results are not needed any more.
	Free(ctx context.Context, e *fleet.Endpoint, handles []string) error
}

// Item asks for one piece.
type Item struct {
	ID     string // of the request
	Stage  int
	Piece  int
	Left   time.Duration // after which the piece is of no use
	Key    string        // that pieces without inputs are made from
	Inputs []string      // handles of results
}

// Answer is what an endpoint answered a call with.
type Answer struct {
	Outcomes []Outcome // in the order of the items
	Calls    int       // that the endpoint worked on, or that waited there, besides this one; zero if it does not tell
}

// Outcome is a handle, or the reason why there is none.
type Outcome struct {
	Handle string
	Reason Reason
}

// Reason says why a piece was not made.
type Reason int

const (
	// Made means that the piece was made.
	Made Reason = iota
	// Late means that the time for it was over at its turn.
	Late
	// Gone means that an input no longer exists.
	Gone
	// Room means that the endpoint had no place for the result.
	Room
	// Fault means that making it failed.
	Fault
)

var reasons = [...]string{Made: "made", Late: "late", Gone: "input gone", Room: "no room", Fault: "failed"}

// String returns the text used in logs.
func (r Reason) String() string {
	if r < Made || r > Fault {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasons[r]
}
