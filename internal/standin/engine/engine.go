// Package engine stands in for a model engine that batches continuously and
// streams its tokens as server-sent events.
package engine

// This file defines Engine and its stage calls.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Options sets the service-time model of an engine.
type Options struct {
	Name  string
	Slots int           // streams in the batch at once; more wait
	First time.Duration // time to the first token
	Token time.Duration // time between tokens
}

// Engine is one model engine.
type Engine struct {
	options Options
	ledger  *ledger.Ledger
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
}

// New returns an engine that records its executions in l.
func New(o Options, l *ledger.Ledger) *Engine {
	return &Engine{options: o, ledger: l, slots: make(chan struct{}, o.Slots)}
}

type wireCall struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
	From    int    `json:"from"`
	Tokens  int    `json:"tokens"`
}

type wireEvent struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Size    int    `json:"size,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Prompt  int    `json:"prompt,omitempty"`
	Busy    int64  `json:"busy,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// ServeHTTP answers POST /v1/stages, DELETE /v1/stages/... and GET /v1/load.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/stages":
		e.stage(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		e.load(w)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	var c wireCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.wait(1)
	select {
	case e.slots <- struct{}{}:
		e.wait(-1)
	case <-r.Context().Done():
		e.wait(-1)
		return
	}
	defer func() { <-e.slots }()
	e.generate(w, r, c)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c wireCall) {
	start := time.Now()
	end := e.ledger.Start(ledger.Entry{
		Endpoint: e.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, From: c.From,
	})
	made := 0
	defer func() { end(time.Since(start), made) }()
	w.Header().Set("Content-Type", "text/event-stream")
	size := 0
	for i := c.From; i < c.Tokens; i++ {
		if !e.pause(r, i == c.From) {
			return
		}
		text := answer.Token(c.Request, c.Stage, c.Prompt, i)
		e.emit(w, wireEvent{Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Index: i, Text: text})
		size += len(text)
		made++
	}
	e.emit(w, wireEvent{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Done: true, Size: size,
		Tokens: made, Prompt: len(c.Prompt) / 4, Busy: time.Since(start).Microseconds(), Reason: "length",
	})
}

// pause waits for the next token and reports false once the caller is gone.
func (e *Engine) pause(r *http.Request, first bool) bool {
	d := e.options.Token
	if first {
		d = e.options.First
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) emit(w http.ResponseWriter, event wireEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Sprintf("engine: encoding event: %v", err))
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	http.NewResponseController(w).Flush()
}

func (e *Engine) wait(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

func (e *Engine) load(w http.ResponseWriter) {
	e.mu.Lock()
	waiting := e.waiting
	e.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]int{
		"queue": waiting, "running": len(e.slots), "slots": e.options.Slots,
	})
}
