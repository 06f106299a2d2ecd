// Package pool simulates a worker of a pool of encoders, retrievers or rerankers: an
// HTTP handler with a fixed service time and a limited number of concurrent calls.
package pool

// This file defines Worker.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/output"
	"github.com/jacinthstile/jacinthstile/internal/standin/semaphore"
)

// Options sets the service-time model of a pool worker.
type Options struct {
	Name        string
	Slots       int           // calls that run concurrently; further calls wait
	ServiceTime time.Duration // service time of a call
	ReportLag   time.Duration // delay of load reports
}

// Worker is one worker of a pool.
type Worker struct {
	options Options
	ledger  *ledger.Ledger
	slots   *semaphore.Semaphore
}

var _ http.Handler = (*Worker)(nil)

// New returns a worker that records its executions in l.
func New(o Options, l *ledger.Ledger) *Worker {
	return &Worker{options: o, ledger: l, slots: semaphore.New(o.Slots, o.ReportLag)}
}

type stageRequest struct {
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  int    `json:"attempt"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

type stageResponse struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Size    int    `json:"size"`
	Busy    int64  `json:"busy"` // microseconds
}

type loadReport struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// ServeHTTP handles POST /v1/stages and GET /v1/load. It accepts DELETE, but does not
// cancel the call, since calls are short.
func (wk *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/stages":
		wk.handleStage(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		wk.handleLoad(w)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (wk *Worker) handleStage(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	var c stageRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !wk.slots.Acquire(r.Context(), c.Priority) {
		return
	}
	defer wk.slots.Release()
	end := wk.ledger.Start(ledger.Entry{
		Endpoint: wk.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Arrival: arrival,
	})
	time.Sleep(wk.options.ServiceTime)
	end(nil)
	text := output.Pool(c.Request, c.Stage, c.Prompt)
	json.NewEncoder(w).Encode(stageResponse{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
		Text: text, Done: true, Size: len(text), Busy: wk.options.ServiceTime.Microseconds(),
	})
}

func (wk *Worker) handleLoad(w http.ResponseWriter) {
	state, age := wk.slots.Report()
	json.NewEncoder(w).Encode(loadReport{
		Queue: state.Waiting, Running: state.Running, Slots: wk.slots.Size(), Age: age.Milliseconds(),
	})
}
