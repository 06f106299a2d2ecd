// Package rule names the ways in which a picker can choose among the
// candidates for a call.
package rule

// This file defines Rule and its variants.

// Rule is one of Random, RoundRobin, LeastInFlight, TwoChoices and Predicted.
type Rule interface{ rule() }

// Random chooses uniformly.
type Random struct{}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{}

// LeastInFlight chooses the endpoint with the fewest own calls in flight.
type LeastInFlight struct{}

// TwoChoices draws two candidates and takes the one with fewer own calls in flight.
type TwoChoices struct{}

// Predicted chooses the least predicted time and cost, from measured service
// times, age-corrected load reports, cached prefixes, distance and price.
type Predicted struct {
	Blind bool // cached prefixes are ignored
}

var (
	_ Rule = Random{}
	_ Rule = RoundRobin{}
	_ Rule = LeastInFlight{}
	_ Rule = TwoChoices{}
	_ Rule = Predicted{}
)

func (Random) rule()        {}
func (RoundRobin) rule()    {}
func (LeastInFlight) rule() {}
func (TwoChoices) rule()    {}
func (Predicted) rule()     {}
