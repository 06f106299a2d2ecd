// Package operator serves the operators' interface: health, readiness, status and metrics.
package operator

// This file defines Server.

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Status is what an instance says of itself.
type Status struct {
	Name     string  `json:"name"`
	Centre   string  `json:"centre"`
	Ready    bool    `json:"ready"`
	Epoch    uint64  `json:"epoch"`
	Version  uint64  `json:"version"`
	Refusal  string  `json:"refusal,omitempty"`  // why the last table was refused
	Conflict string  `json:"conflict,omitempty"` // two tables published under one pair
	Platform float64 `json:"platform"`           // seconds since the platform last answered; -1 for never
	Peers    float64 `json:"peers"`              // seconds since a peer was last heard; -1 for never
	Flights  int64   `json:"flights"`            // requests in flight
}

// Server answers operators.
type Server struct {
	status func() Status
	router chi.Router
}

// New returns a server that reports what status returns.
func New(status func() Status) *Server {
	s := &Server{status: status, router: chi.NewRouter()}
	s.router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.router.Get("/readyz", s.ready)
	s.router.Get("/v1/status", s.report)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.status().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.status())
}
