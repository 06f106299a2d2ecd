// Package service stands in for a worker of a plain service, such as bookings,
// and records each execution.
package service

// This file defines Service.

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Options sets the service-time model of a worker.
type Options struct {
	Name string
	Time time.Duration
}

// Service is one worker.
type Service struct {
	options Options
	ledger  *ledger.Ledger
}

// New returns a worker that records its executions in l.
func New(o Options, l *ledger.Ledger) *Service { return &Service{options: o, ledger: l} }

type wireAnswer struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Worker  string `json:"worker"`
}

// ServeHTTP executes any call, echoes its identity and reports GET /v1/load.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		json.NewEncoder(w).Encode(map[string]int{"queue": 0, "running": 0, "slots": 1})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Jacinthstile-Request")
	end := s.ledger.Start(ledger.Entry{
		Endpoint: s.options.Name,
		Request:  request,
		Stage:    r.Method + " " + r.URL.Path,
		Key:      r.Header.Get("Idempotency-Key"),
	})
	time.Sleep(s.options.Time)
	end(s.options.Time, 0)
	w.Header().Set("Jacinthstile-Request", request)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(wireAnswer{
		Request: request, Path: r.URL.Path, Body: string(body), Worker: s.options.Name,
	})
}
