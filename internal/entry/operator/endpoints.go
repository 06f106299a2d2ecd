package operator

// This file serves the use of each endpoint, for operators that drain one.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// EndpointReport is the report of an instance about the endpoints of its table.
type EndpointReport struct {
	Name      string     `json:"name"` // name of the instance
	Epoch     uint64     `json:"epoch"`
	Version   uint64     `json:"version"`
	Endpoints []Endpoint `json:"rows"`
}

// Endpoint is the use of one endpoint by one instance.
type Endpoint struct {
	Name          string     `json:"name"`
	Centre        string     `json:"centre"`
	Weight        float64    `json:"weight"`         // multiplied by the weight of its data centre
	Leaving       bool       `json:"leaving"`        // its instance is listed as leaving, or its leaving date is near
	CallsInFlight int        `json:"flights"`        // calls of this instance in flight
	LastCall      *time.Time `json:"last,omitempty"` // start of the last call of this instance
}

// ServeEndpoints adds GET /v1/endpoints, which serves the result of report. It must be
// called before the server handles requests.
func (s *Server) ServeEndpoints(report func() EndpointReport) {
	s.router.Group(func(r chi.Router) {
		r.Use(s.guard)
		r.Get("/v1/endpoints", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(report())
		})
	})
}
