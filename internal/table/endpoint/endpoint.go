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

// Endpoint is a worker that executes stage calls or calls of a plain service.
type Endpoint struct {
	Name                    string     `json:"name"`
	Address                 string     `json:"address"` // IP and port
	Centre                  string     `json:"centre"`
	Kind                    string     `json:"kind"`              // Engine, Pool or Service
	Role                    string     `json:"role"`              // stage role, or the name of the service
	Models                  []string   `json:"models,omitempty"`  // names of the models that the engine should hold
	Weight                  float64    `json:"weight"`            // relative share of new work; 0 for none
	Limit                   int        `json:"limit"`             // most calls in flight at the same time, over all instances; 0 for no limit
	Cost                    float64    `json:"cost,omitempty"`    // price of one second of work
	Leave                   *time.Time `json:"leave,omitempty"`   // time by which no work may run there any more
	Fenced                  bool       `json:"fenced,omitempty"`  // the engine refuses orders with an outdated fencing number
	SupportsIdempotencyKeys bool       `json:"keyed,omitempty"`   // the endpoint remembers idempotency keys, so a call may be repeated with the same key
	RefusalMeansNotRun      bool       `json:"trusted,omitempty"` // an explicit refusal by the endpoint proves that the call did not run
}

// Serves reports whether the row lists the model. It is true if model is empty.
func (e Endpoint) Serves(model string) bool {
	return model == "" || slices.Contains(e.Models, model)
}

// Check adds the invalid values of e to list.
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
