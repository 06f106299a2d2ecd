package picker

// This file defines Reason and ReasonCode.

import (
	"fmt"
	"time"
)

// ReasonCode classifies reasons.
type ReasonCode int

const (
	// Unknown is the code of the zero Reason.
	Unknown ReasonCode = iota
	// NotInTable means that the table has no endpoint with weight for the role and model.
	NotInTable
	// NoneUsable means that all endpoints with weight are leaving or were tried for this call.
	NoneUsable
	// AtLimit means that all usable endpoints are at their concurrency limit.
	AtLimit
	// ByStrategy means that a strategy other than Predicted chose.
	ByStrategy
	// Predicted means that the endpoint has the least predicted time and cost.
	Predicted
	// NoShare means that this instance's share of the concurrency limit is zero for all endpoints.
	NoShare
	// OnlyEjected means that the endpoint was chosen although it is ejected,
	// because all usable endpoints are.
	OnlyEjected
	// ByCoordinator means that the coordinator chose the endpoint.
	ByCoordinator
	// Paused means that all usable endpoints asked for a pause.
	Paused
)

var codeTexts = [...]string{
	Unknown:       "unknown",
	NotInTable:    "no endpoint in the table",
	NoneUsable:    "no usable endpoint",
	AtLimit:       "all endpoints at their limit",
	ByStrategy:    "plain rule",
	Predicted:     "least predicted",
	NoShare:       "no share of any limit",
	OnlyEjected:   "only ejected endpoints left",
	ByCoordinator: "chosen by the gathering instance",
	Paused:        "all endpoints asked for a pause",
}

// String returns the text used in logs.
func (c ReasonCode) String() string {
	if c < Unknown || c > Paused {
		return fmt.Sprintf("ground(%d)", int(c))
	}
	return codeTexts[c]
}

// Reason is why an endpoint was chosen, or why none was.
type Reason struct {
	Code         ReasonCode
	Wait         time.Duration // predicted wait at the endpoint
	Service      time.Duration // predicted service time, without the saving by a cached prefix
	Load         float64       // predicted calls at the endpoint, of all instances
	CachedBlocks int           // length of the prefix that the endpoint is believed to have cached, in blocks
	PromptBlocks int           // length of the prompt, in blocks
	Compared     int           // candidates that were compared
	GroupSize    int           // endpoints of the role and model
}

// String returns one line for the decision log.
func (r Reason) String() string {
	switch r.Code {
	case Predicted, OnlyEjected:
		return fmt.Sprintf("%s: wait %s, service %s, load %.1f, cached %d/%d, seen %d/%d",
			r.Code, r.Wait.Round(time.Millisecond), r.Service.Round(time.Millisecond), r.Load,
			r.CachedBlocks, r.PromptBlocks, r.Compared, r.GroupSize)
	default:
		return fmt.Sprintf("%s: seen %d/%d", r.Code, r.Compared, r.GroupSize)
	}
}
