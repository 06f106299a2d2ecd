// Package policy provides the settings of the table that apply to the whole fleet.
package policy

// This file defines Policy.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// MaxLoadTime is the longest time that loading all models of one engine from the
// weight store may take. A table with an engine that needs longer is refused.
const MaxLoadTime = 24 * time.Hour

// Policy weighs met deadlines against cost, limits retries, hedges, ejections and
// model loads, and holds the other settings of the whole fleet.
type Policy struct {
	Attainment     float64   `json:"attainment"` // weight of responses within their deadline, 0 to 1
	Cost           float64   `json:"cost"`       // weight of the cost of the stages, 0 to 1
	Retry          float64   `json:"retry"`      // most retries, as a share of first attempts
	Hedge          float64   `json:"hedge"`      // most hedged attempts, as a share of first attempts
	MaxEjected     float64   `json:"eject"`      // greatest share of the endpoints of a role that outlier detection ejects at the same time
	Ticket         span.Span `json:"ticket"`     // lifetime of a ticket
	Seats          int       `json:"seats"`      // number of seats that share the limits of client accounts
	StoreBandwidth int64     `json:"store"`      // throughput of the weight store in bytes a second; 0 for unlimited
	MaxUnavailable float64   `json:"away"`       // greatest share of the engines of a model that load or change models at the same time
}

// CostShare returns the weight of cost as a share of the weights of cost and
// attainment together, 0 to 1. It is 0 if cost has no weight.
func (p Policy) CostShare() float64 {
	if p.Cost <= 0 {
		return 0
	}
	return p.Cost / (p.Cost + p.Attainment)
}

// Check adds the invalid values of p to list.
func (p Policy) Check(list *problem.List) {
	const row = "policy"
	share := func(column string, v float64) {
		if v < 0 || v > 1 {
			list.Add(row, column, v, "0 to 1")
		}
	}
	share("attainment", p.Attainment)
	share("cost", p.Cost)
	share("retry", p.Retry)
	share("hedge", p.Hedge)
	share("eject", p.MaxEjected)
	share("away", p.MaxUnavailable)
	if p.Ticket <= 0 {
		list.Add(row, "ticket", p.Ticket, "more than 0s")
	}
	if p.Seats < 1 {
		list.Add(row, "seats", p.Seats, "1 or more")
	}
	if p.StoreBandwidth < 0 {
		list.Add(row, "store", p.StoreBandwidth, "0 or more bytes a second")
	}
}

// CanLoad reports whether size bytes can be read from the weight store within
// MaxLoadTime.
func (p Policy) CanLoad(size int64) bool {
	return p.StoreBandwidth == 0 || float64(size)/float64(p.StoreBandwidth) <= MaxLoadTime.Seconds()
}
