package registry

// This file defines Endpoint and State.

import (
	"fmt"
	"strconv"
)

// State is the state of an endpoint as this instance knows it.
type State int

const (
	// Ready endpoints accept new work.
	Ready State = iota + 1
	// Draining endpoints finish their work and accept no new work.
	Draining
	// Lapsed endpoints lost their registration while the store was unreachable
	// or shortly after. They are probably alive, so they get work until they
	// fail to register again within ReregisterTimeout.
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

// Endpoint is the registration of one endpoint. It is immutable once published.
type Endpoint struct {
	ID        string
	StartTime int64 // start of the process, Unix time in milliseconds; zero if not given
	Service   string
	Address   string // IP and port
	Centre    string
	Slots     int // requests that it runs at a time
	State     State
	Version   string // of the endpoint's software; empty if not given
}

// Name returns a name that is unique to this process of the endpoint: it differs
// after a restart, while ID stays the same.
func (e *Endpoint) Name() string { return e.ID + "@" + strconv.FormatInt(e.StartTime, 10) }

// AcceptsWork reports whether the endpoint accepts new work.
func (e *Endpoint) AcceptsWork() bool { return e.State != Draining }
