// Package service stands in for a worker of a plain service, such as bookings,
// and records each execution.
package service

// This file defines Service.

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/queue"
)

// Options sets the service-time model of a worker.
type Options struct {
	Name  string
	Slots int           // calls that run at once; more wait
	Time  time.Duration // service time of a call
	Lag   time.Duration // age of load reports
	Keyed bool          // a repeated idempotency key gets the first answer and runs nothing
}

// Service is one worker.
type Service struct {
	options Options
	ledger  *ledger.Ledger
	queue   *queue.Queue
	memory  *Memory
}

// Memory holds the answers by idempotency key. The workers of one service share it.
type Memory struct {
	mu      sync.Mutex
	answers map[string]*remembered
}

type remembered struct {
	done chan struct{} // closed once body is set
	body string
}

var _ http.Handler = (*Service)(nil)

// NewMemory returns an empty memory of answers.
func NewMemory() *Memory { return &Memory{answers: make(map[string]*remembered)} }

// New returns a worker that records its executions in l. The memory may be nil
// where keys are not remembered.
func New(o Options, l *ledger.Ledger, m *Memory) *Service {
	return &Service{options: o, ledger: l, queue: queue.New(o.Slots, o.Lag), memory: m}
}

type wireAnswer struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Worker  string `json:"worker"`
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// ServeHTTP executes any call, echoes its identity and reports GET /v1/load.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		s.load(w)
		return
	}
	arrival := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.queue.Acquire(r.Context(), 0) {
		return
	}
	defer s.queue.Release()
	request := r.Header.Get("Jacinthstile-Request")
	e := ledger.Entry{
		Endpoint: s.options.Name, Request: request, Stage: r.Method + " " + r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Body: string(body), Arrival: arrival,
	}
	text := s.once(e)
	w.Header().Set("Jacinthstile-Request", request)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(wireAnswer{
		Request: request, Path: r.URL.Path, Body: text, Worker: s.options.Name,
	})
}

// once runs a call unless its key is remembered, and returns the body that it echoes.
func (s *Service) once(e ledger.Entry) string {
	if !s.options.Keyed || s.memory == nil || e.Key == "" {
		s.run(e)
		return e.Body
	}
	s.memory.mu.Lock()
	known := s.memory.answers[e.Key]
	if known != nil {
		s.memory.mu.Unlock()
		<-known.done
		return known.body
	}
	known = &remembered{done: make(chan struct{}), body: e.Body}
	s.memory.answers[e.Key] = known
	s.memory.mu.Unlock()
	s.run(e)
	close(known.done)
	return known.body
}

func (s *Service) run(e ledger.Entry) {
	end := s.ledger.Start(e)
	time.Sleep(s.options.Time)
	end(nil)
}

func (s *Service) load(w http.ResponseWriter) {
	state, age := s.queue.Report()
	json.NewEncoder(w).Encode(wireLoad{
		Queue: state.Waiting, Running: state.Running, Slots: s.queue.Slots(), Age: age.Milliseconds(),
	})
}
