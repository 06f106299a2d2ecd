// Package instance describes the platform's list of instances, which lags behind reality.
package instance

// This file defines Instance and List.

// Key is the platform key that holds the list.
const Key = "instances"

// States of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one instance as the platform lists it: an entry instance of ours,
// or one that an endpoint runs on.
type Instance struct {
	Name     string `json:"name"`
	Address  string `json:"address"` // of the peer listener, or of the endpoint
	Centre   string `json:"centre"`
	State    string `json:"state"`              // Live or Leaving
	Entry    bool   `json:"entry,omitempty"`    // an entry instance of ours
	Operator string `json:"operator,omitempty"` // base URL of an entry instance's operators' listener
	Seat     *int   `json:"seat,omitempty"`     // of an entry instance, as in its settings; nil for none
}

// List is one version of the platform's list.
type List struct {
	Instances []Instance `json:"instances"`
}
