// Package pool stands in for a worker of a pool: an encoder, a retriever or a reranker.
package pool

// This file defines Pool.

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Options sets the service-time model of a pool worker.
type Options struct {
	Name  string
	Slots int           // calls that run at once; more wait
	Time  time.Duration // service time of a call
}

// Pool is one worker.
type Pool struct {
	options Options
	ledger  *ledger.Ledger
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
}

// New returns a worker that records its executions in l.
func New(o Options, l *ledger.Ledger) *Pool {
	return &Pool{options: o, ledger: l, slots: make(chan struct{}, o.Slots)}
}

type wireCall struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
}

type wireAnswer struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Size    int    `json:"size"`
	Busy    int64  `json:"busy"`
}

// ServeHTTP answers POST /v1/stages and GET /v1/load.
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
	var c wireCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.wait(1)
	select {
	case p.slots <- struct{}{}:
		p.wait(-1)
	case <-r.Context().Done():
		p.wait(-1)
		return
	}
	defer func() { <-p.slots }()
	end := p.ledger.Start(ledger.Entry{
		Endpoint: p.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
	})
	time.Sleep(p.options.Time)
	end(p.options.Time, 0)
	text := answer.Pool(c.Request, c.Stage, c.Prompt)
	json.NewEncoder(w).Encode(wireAnswer{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
		Text: text, Done: true, Size: len(text), Busy: p.options.Time.Microseconds(),
	})
}

func (p *Pool) wait(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}

func (p *Pool) load(w http.ResponseWriter) {
	p.mu.Lock()
	waiting := p.waiting
	p.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]int{
		"queue": waiting, "running": len(p.slots), "slots": p.options.Slots,
	})
}
