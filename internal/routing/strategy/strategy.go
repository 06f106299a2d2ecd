// Package strategy defines the load-balancing strategies by which a picker can
// choose an endpoint for a call. It holds their names and options only; package
// picker implements them.
package strategy

// This file defines Strategy and its variants.

// Strategy is one of Random, RoundRobin, LeastInFlight, TwoChoices and Predicted.
type Strategy interface{ strategy() }

// Random chooses an endpoint uniformly at random.
type Random struct{}

// RoundRobin chooses the endpoints in turn.
type RoundRobin struct{}

// LeastInFlight chooses the endpoint to which this instance has the fewest calls
// in flight.
type LeastInFlight struct{}

// TwoChoices draws two endpoints at random and chooses the one to which this
// instance has fewer calls in flight.
type TwoChoices struct{}

// Predicted chooses the endpoint with the least predicted time and cost. The
// prediction uses measured service times, load reports weighted by their age,
// cached prompt prefixes, the network delay and the price of the endpoint.
type Predicted struct {
	IgnorePrefixes bool // ignore cached prompt prefixes
}

var (
	_ Strategy = Random{}
	_ Strategy = RoundRobin{}
	_ Strategy = LeastInFlight{}
	_ Strategy = TwoChoices{}
	_ Strategy = Predicted{}
)

func (Random) strategy()        {}
func (RoundRobin) strategy()    {}
func (LeastInFlight) strategy() {}
func (TwoChoices) strategy()    {}
func (Predicted) strategy()     {}
