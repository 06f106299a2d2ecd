package fleet

// This file defines Endpoint and State.

import (
	"fmt"
	"strconv"
)

// State is what is believed of an endpoint.
type State int

const (
	// Ready endpoints take new work.
	Ready State = iota + 1
	// Draining endpoints take none.
	Draining
	// Lapsed endpoints lost their registration while the platform was out of
	// reach. They take work until they turn out to be gone.
	Lapsed
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Lapsed: "lapsed"}

// String returns the name used in logs.
func (s State) String() string {
	if s < Ready || s > Lapsed {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Endpoint is one registration. It is not changed once published.
type Endpoint struct {
	ID      string
	Born    int64 // start of the process, in milliseconds of the Unix epoch
	Service string
	Address string // IP and port
	Centre  string
	Slots   int
	State   State
}

// Name tells an endpoint from its restarted self.
func (e *Endpoint) Name() string { return e.ID + "@" + strconv.FormatInt(e.Born, 10) }

// Takes reports whether the endpoint may get new work.
func (e *Endpoint) Takes() bool { return e.State != Draining }
