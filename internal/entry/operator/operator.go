// Package operator implements the HTTP API for operators: health, readiness,
// status, metrics and the use of endpoints.
package operator

// This file defines Server and its routes.

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/jacinthstile/jacinthstile/internal/secure/secret"
)

// Server is the handler of the operators' API. Health and readiness need no
// authentication, since the platform's load balancer polls them. All other paths
// need the operators' bearer token if one is set.
type Server struct {
	status func() Status
	access *secret.Secret // operators' token; nil if none is needed
	router chi.Router
}

// New returns a server that serves the result of status and the handler metrics.
// The operators' token is access, or nil if none is needed.
func New(status func() Status, metrics http.Handler, access *secret.Secret) *Server {
	s := &Server{status: status, access: access, router: chi.NewRouter()}
	s.router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.router.Get("/readyz", s.ready)
	s.router.Group(func(r chi.Router) {
		r.Use(s.guard)
		r.Get("/v1/status", s.report)
		r.Method(http.MethodGet, "/metrics", metrics)
	})
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// guard rejects requests without the operators' token.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.access != nil && !s.access.Matches(token) {
			http.Error(w, "want header Authorization: Bearer TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.status().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.status())
}
