package operator

// This file defines Status.

// Status is what an instance says of itself.
type Status struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Epoch    uint64 `json:"epoch"`
	Version  uint64 `json:"version"`
	Refusal  string `json:"refusal,omitempty"` // why the last table was refused
	Flights  int64  `json:"flights"`           // requests in flight
	Tickets  int    `json:"tickets"`           // tickets that are unused or running
}
