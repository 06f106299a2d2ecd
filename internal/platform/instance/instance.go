// Package instance defines the list of instances that the platform publishes in
// its configuration service. The list is updated with a delay: it may still
// contain instances that have stopped and may lack instances that have started.
package instance

// This file defines Instance and List.

// Key is the key of the configuration service whose value is the list.
const Key = "instances"

// States of an instance in the list.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one entry of the list: an entry instance (a process of this
// system) or the instance that an endpoint runs on.
type Instance struct {
	Name     string `json:"name"`
	Address  string `json:"address"` // of an entry instance's peer listener, or of the endpoint
	Centre   string `json:"centre"`
	State    string `json:"state"`              // Live or Leaving
	Entry    bool   `json:"entry,omitempty"`    // whether it is an entry instance
	Operator string `json:"operator,omitempty"` // base URL of the listener for operators; entry instances only
	Seat     *int   `json:"seat,omitempty"`     // seat number from the settings of an entry instance; nil for none
}

// List is one version of the list.
type List struct {
	Instances []Instance `json:"instances"`
}
