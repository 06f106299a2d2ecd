// Package call provides one caller's request on its way through the daemon.
package call

// This file defines Call and Part.

import (
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// Call is one request of a caller, read whole and checked. Its fields are not
// changed once it is being served.
type Call struct {
	ID       string // of this attempt of the caller
	Route    *catalog.Route
	Catalog  *catalog.Catalog // in force when the call arrived
	Service  string           // that runs it
	Account  string
	Rank     int // of the account, or of the route where that has none; zero is the most urgent
	Method   string
	Target   string // path and query as received
	Host     string
	Header   http.Header // headers to pass on
	Body     []byte
	Received time.Time
	Goal     time.Time // until then an answer is worth most
	Deadline time.Time // the caller's or the route's, the earlier one

	Prompt []Part // of the request to an engine, in order
	Pieces []int  // of each stage of the route; empty where it has none
	Key    string // that the pieces of first stages are made from
	Resume string // id of the last event that the caller has; empty for none
}

// Part is a shared or own part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Urgency orders calls by their rank, and those of one rank by that of their
// routes; zero is the most urgent. Where accounts have ranks these say nothing
// of what the calls of one account are for.
func (c *Call) Urgency() int { return within(c.Rank)*catalog.Ranks + within(c.Route.Rank) }

func within(rank int) int { return min(catalog.Ranks-1, max(0, rank)) }

// Staged reports whether stages have to be done before the call can run.
func (c *Call) Staged() bool {
	for _, n := range c.Pieces {
		if n > 0 {
			return true
		}
	}
	return false
}
