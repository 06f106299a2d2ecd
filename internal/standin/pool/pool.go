// Package pool stands in for a worker of a pool: an encoder, a retriever or a reranker.
package pool

// This file defines Pool.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/queue"
)

// Options sets the service-time model of a pool worker.
type Options struct {
	Name  string
	Slots int           // calls that run at once; more wait
	Time  time.Duration // service time of a call
	Lag   time.Duration // age of load reports
}

// Pool is one worker.
type Pool struct {
	options Options
	ledger  *ledger.Ledger
	queue   *queue.Queue
}

var _ http.Handler = (*Pool)(nil)

// New returns a worker that records its executions in l.
func New(o Options, l *ledger.Ledger) *Pool {
	return &Pool{options: o, ledger: l, queue: queue.New(o.Slots, o.Lag)}
}

type wireCall struct {
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  int    `json:"attempt"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

type wireAnswer struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Size    int    `json:"size"`
	Busy    int64  `json:"busy"` // microseconds
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// ServeHTTP answers POST /v1/stages and GET /v1/load. A call that runs is not
// ended by DELETE, since it is short.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/stages":
		p.stage(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		p.load(w)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (p *Pool) stage(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	var c wireCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.queue.Acquire(r.Context(), c.Priority) {
		return
	}
	defer p.queue.Release()
	end := p.ledger.Start(ledger.Entry{
		Endpoint: p.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Arrival: arrival,
	})
	time.Sleep(p.options.Time)
	end(nil)
	text := answer.Pool(c.Request, c.Stage, c.Prompt)
	json.NewEncoder(w).Encode(wireAnswer{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
		Text: text, Done: true, Size: len(text), Busy: p.options.Time.Microseconds(),
	})
}

func (p *Pool) load(w http.ResponseWriter) {
	state, age := p.queue.Report()
	json.NewEncoder(w).Encode(wireLoad{
		Queue: state.Waiting, Running: state.Running, Slots: p.queue.Slots(), Age: age.Milliseconds(),
	})
}
