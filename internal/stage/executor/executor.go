// Package executor defines the interface through which batched stage work is sent
// to endpoints. Each platform implements it with its own protocol. The package
// itself does no I/O.
package executor

// This file defines Executor, Item and Outcome.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

// Executor calls endpoints that execute pieces. It is safe for concurrent use.
type Executor interface {
	// Execute has an endpoint execute pieces in one call. The response has an outcome
	// for each item. The error is a *failure.Failure.
	Execute(ctx context.Context, e *registry.Endpoint, items []Item) (Response, error)
	// Free tells an endpoint that results are no longer needed.
	Free(ctx context.Context, e *registry.Endpoint, handles []string) error
}

// Item is the request for one piece.
type Item struct {
	RequestID string // id of the request that the piece belongs to
	Stage     int
	Piece     int
	TimeLeft  time.Duration // time until the piece's deadline
	PieceKey  string        // identifies the input of a piece of a first stage; empty for others
	Inputs    []string      // handles of results of earlier stages; none in a first stage
}

// Response is an endpoint's response to a call.
type Response struct {
	Outcomes   []Outcome // in the order of the items
	OtherCalls int       // other calls that were running or queued at the endpoint; zero if it does not report them
}

// Outcome is the handle of a result, or the status that says why there is none.
type Outcome struct {
	Handle string
	Status Status
}

// Status says whether a piece was executed, and if not, why.
type Status int

const (
	// Done means that the piece was executed.
	Done Status = iota
	// Expired means that the deadline had passed before the piece was started.
	Expired
	// InputGone means that an input no longer exists.
	InputGone
	// NoSpace means that the endpoint had no space for the result.
	NoSpace
	// Failed means that the execution failed.
	Failed
)

var statusTexts = [...]string{Done: "made", Expired: "late", InputGone: "input gone", NoSpace: "no room", Failed: "failed"}

// String returns the text used in logs.
func (s Status) String() string {
	if s < Done || s > Failed {
		return fmt.Sprintf("reason(%d)", int(s))
	}
	return statusTexts[s]
}
