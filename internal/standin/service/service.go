// Package service simulates a worker of a plain service, such as bookings: an HTTP
// handler with a fixed service time that records each execution and can deduplicate
// calls by idempotency key.
package service

// This file defines Worker.

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/semaphore"
)

// Options sets the service-time model and the handling of idempotency keys.
type Options struct {
	Name        string
	Slots       int           // calls that run concurrently; further calls wait
	ServiceTime time.Duration // service time of a call
	ReportLag   time.Duration // delay of load reports
	Deduplicate bool          // whether a call with a known idempotency key gets the first response and is not executed
}

// Worker is one worker of a service.
type Worker struct {
	options Options
	ledger  *ledger.Ledger
	slots   *semaphore.Semaphore
	cache   *ResponseCache
}

// ResponseCache holds the responses by idempotency key. All workers of a service share one.
type ResponseCache struct {
	mu        sync.Mutex
	responses map[string]*savedResponse
}

type savedResponse struct {
	done chan struct{} // closed when the first call has been executed
	body string
}

var _ http.Handler = (*Worker)(nil)

// NewResponseCache returns an empty cache.
func NewResponseCache() *ResponseCache {
	return &ResponseCache{responses: make(map[string]*savedResponse)}
}

// New returns a worker that records its executions in l. If c is nil, every call is
// executed, whatever its idempotency key.
func New(o Options, l *ledger.Ledger, c *ResponseCache) *Worker {
	return &Worker{options: o, ledger: l, slots: semaphore.New(o.Slots, o.ReportLag), cache: c}
}

type response struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Worker  string `json:"worker"`
}

type loadReport struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// ServeHTTP answers GET /v1/load with a load report and executes any other call. Its
// response contains the request ID, path and body of the call.
func (wk *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		wk.handleLoad(w)
		return
	}
	arrival := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !wk.slots.Acquire(r.Context(), 0) {
		return
	}
	defer wk.slots.Release()
	request := r.Header.Get("Jacinthstile-Request")
	e := ledger.Entry{
		Endpoint: wk.options.Name, Request: request, Stage: r.Method + " " + r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Body: string(body), Arrival: arrival,
	}
	echo := wk.runOnce(e)
	w.Header().Set("Jacinthstile-Request", request)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(response{
		Request: request, Path: r.URL.Path, Body: echo, Worker: wk.options.Name,
	})
}

// runOnce executes a call unless its idempotency key is known, and returns the body
// for the response. If the first call with the key is still running, runOnce waits
// for it.
func (wk *Worker) runOnce(e ledger.Entry) string {
	if !wk.options.Deduplicate || wk.cache == nil || e.Key == "" {
		wk.run(e)
		return e.Body
	}
	wk.cache.mu.Lock()
	known := wk.cache.responses[e.Key]
	if known != nil {
		wk.cache.mu.Unlock()
		<-known.done
		return known.body
	}
	known = &savedResponse{done: make(chan struct{}), body: e.Body}
	wk.cache.responses[e.Key] = known
	wk.cache.mu.Unlock()
	wk.run(e)
	close(known.done)
	return known.body
}

func (wk *Worker) run(e ledger.Entry) {
	end := wk.ledger.Start(e)
	time.Sleep(wk.options.ServiceTime)
	end(nil)
}

func (wk *Worker) handleLoad(w http.ResponseWriter) {
	state, age := wk.slots.Report()
	json.NewEncoder(w).Encode(loadReport{
		Queue: state.Waiting, Running: state.Running, Slots: wk.slots.Size(), Age: age.Milliseconds(),
	})
}
