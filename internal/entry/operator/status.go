package operator

// This file defines Status.

// Status is the state that an instance reports to operators.
type Status struct {
	Name             string  `json:"name"`
	Centre           string  `json:"centre"`
	Ready            bool    `json:"ready"`
	Stopping         bool    `json:"stopping"`
	Epoch            uint64  `json:"epoch"`
	Version          uint64  `json:"version"`
	Refusal          string  `json:"refusal,omitempty"`  // why the last table was refused
	Conflict         string  `json:"conflict,omitempty"` // a second table was published with the same epoch and version
	PlatformAge      float64 `json:"platform"`           // seconds since the last response of the platform; -1 if there was none
	PeersAge         float64 `json:"peers"`              // seconds since the last message of a peer; -1 if there was none
	RequestsInFlight int64   `json:"flights"`            // callers' requests in flight
	Tickets          int     `json:"tickets"`            // tickets that are unused or running
}
