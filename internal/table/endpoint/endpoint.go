// Package endpoint provides the table's endpoint rows.
package endpoint

// This file defines Endpoint.

import (
	"net"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Kinds of endpoint.
const (
	Engine  = "engine"  // a model engine
	Pool    = "pool"    // an encoder, retriever or reranker
	Service = "service" // a plain service
)

// Endpoint is one worker that takes stage calls or plain calls.
type Endpoint struct {
	Name    string     `json:"name"`
	Address string     `json:"address"` // IP and port
	Centre  string     `json:"centre"`
	Kind    string     `json:"kind"`             // Engine, Pool or Service
	Role    string     `json:"role"`             // the stage role, or the service's name
	Models  []string   `json:"models,omitempty"` // the models an engine should hold
	Weight  float64    `json:"weight"`
	Limit   int        `json:"limit"`             // most calls in flight at once, over all instances; 0 for none
	Cost    float64    `json:"cost,omitempty"`    // price of one busy second
	Leave   *time.Time `json:"leave,omitempty"`   // the date by which it must be empty
	Fenced  bool       `json:"fenced,omitempty"`  // refuses orders with an old fencing number
	Keyed   bool       `json:"keyed,omitempty"`   // remembers idempotency keys
	Trusted bool       `json:"trusted,omitempty"` // its explicit refusals mean that nothing ran
}

// Serves reports whether the row says that model is held here.
func (e Endpoint) Serves(model string) bool {
	return model == "" || slices.Contains(e.Models, model)
}

// Check reports the values that e may not hold.
func (e Endpoint) Check(list *problem.List) {
	row := "endpoint " + e.Name
	if e.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if host, _, err := net.SplitHostPort(e.Address); err != nil || net.ParseIP(host) == nil {
		list.Add(row, "address", e.Address, "IP:port")
	}
	if !slices.Contains([]string{Engine, Pool, Service}, e.Kind) {
		list.Add(row, "kind", e.Kind, "engine, pool or service")
	}
	if e.Role == "" {
		list.Add(row, "role", `""`, "a stage role or a service name")
	}
	if e.Weight < 0 {
		list.Add(row, "weight", e.Weight, "0 or more")
	}
	if e.Limit < 0 {
		list.Add(row, "limit", e.Limit, "0 or more")
	}
	if e.Cost < 0 {
		list.Add(row, "cost", e.Cost, "0 or more")
	}
}
