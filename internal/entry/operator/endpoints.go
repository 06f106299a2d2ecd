package operator

// This file reports what each endpoint has in flight, for operators that empty one.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Endpoints is what an instance says of the endpoints of its table.
type Endpoints struct {
	Name    string     `json:"name"` // of the instance
	Epoch   uint64     `json:"epoch"`
	Version uint64     `json:"version"`
	Rows    []Endpoint `json:"rows"`
}

// Endpoint is one endpoint as one instance uses it.
type Endpoint struct {
	Name    string     `json:"name"`
	Centre  string     `json:"centre"`
	Weight  float64    `json:"weight"`         // with its data centre's
	Leaving bool       `json:"leaving"`        // listed so, or its date is near
	Flights int        `json:"flights"`        // calls in flight
	Last    *time.Time `json:"last,omitempty"` // when it last got a new call
}

// Endpoints serves what report returns at GET /v1/endpoints. It is called before the server serves.
func (s *Server) Endpoints(report func() Endpoints) {
	s.router.Group(func(r chi.Router) {
		r.Use(s.guard)
		r.Get("/v1/endpoints", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(report())
		})
	})
}
