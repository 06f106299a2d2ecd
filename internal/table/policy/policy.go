// Package policy provides the table's fleet-wide choices.
package policy

// This file defines Policy.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// LongestLoad is the longest time that loading the models of one engine may take.
const LongestLoad = 24 * time.Hour

// Policy weighs attainment against cost and bounds extra work.
type Policy struct {
	Attainment float64   `json:"attainment"` // weight of answers within their deadline, 0 to 1
	Cost       float64   `json:"cost"`       // weight of cost by stage, 0 to 1
	Retry      float64   `json:"retry"`      // retries as a share of first attempts
	Hedge      float64   `json:"hedge"`      // hedges as a share of first attempts
	Eject      float64   `json:"eject"`      // greatest share of a role's endpoints ejected at once
	Ticket     span.Span `json:"ticket"`     // lifetime of a ticket
	Seats      int       `json:"seats"`      // how many seats share the limits of client accounts
	Store      int64     `json:"store"`      // bytes a second that the weight store gives
	Away       float64   `json:"away"`       // greatest share of a model's engines that load or move at once
}

// Patience returns the weight of cost against attainment, 0 to 1. It is 0 where neither has a weight.
func (p Policy) Patience() float64 {
	if p.Cost <= 0 {
		return 0
	}
	return p.Cost / (p.Cost + p.Attainment)
}

// Check reports the values that p may not hold.
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
	share("eject", p.Eject)
	share("away", p.Away)
	if p.Ticket <= 0 {
		list.Add(row, "ticket", p.Ticket, "more than 0s")
	}
	if p.Seats < 1 {
		list.Add(row, "seats", p.Seats, "1 or more")
	}
	if p.Store < 0 {
		list.Add(row, "store", p.Store, "0 or more bytes a second")
	}
}

// Loads reports whether the weight store gives so many bytes within LongestLoad.
func (p Policy) Loads(size int64) bool {
	return p.Store == 0 || float64(size)/float64(p.Store) <= LongestLoad.Seconds()
}
