package operator

// This file defines Status.

// Status is what an instance says of itself.
type Status struct {
	Name     string  `json:"name"`
	Centre   string  `json:"centre"`
	Ready    bool    `json:"ready"`
	Stopping bool    `json:"stopping"`
	Epoch    uint64  `json:"epoch"`
	Version  uint64  `json:"version"`
	Refusal  string  `json:"refusal,omitempty"`  // why the last table was refused
	Conflict string  `json:"conflict,omitempty"` // two tables published under one pair
	Platform float64 `json:"platform"`           // seconds since the platform last answered; -1 for never
	Peers    float64 `json:"peers"`              // seconds since a peer was last heard; -1 for never
	Flights  int64   `json:"flights"`            // requests in flight
	Tickets  int     `json:"tickets"`            // tickets that are unused or running
}
