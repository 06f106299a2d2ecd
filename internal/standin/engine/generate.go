package engine

// This file handles stage calls: it generates the tokens of a call.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/output"
)

type stageRequest struct {
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  int    `json:"attempt"`
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	From     int    `json:"from"`
	Partial  string `json:"partial"`
	Tokens   int    `json:"tokens"`
	Priority int    `json:"priority"`
	Import   string `json:"import"`
}

type streamEvent struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Size    int    `json:"size,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Cached  int    `json:"cached,omitempty"`
	Prompt  int    `json:"prompt,omitempty"`
	Busy    int64  `json:"busy,omitempty"` // microseconds
	Reason  string `json:"reason,omitempty"`
}

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// handleStage runs a stage call. A refusal of a call that was not executed has the
// not-run header.
func (e *Engine) handleStage(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	var c stageRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.serves(c.Model) {
		w.Header().Set(faultinject.HeaderNotRun, "1")
		http.Error(w, "model "+c.Model+" is not loaded", http.StatusServiceUnavailable)
		return
	}
	if c.Partial != output.Text(c.Request, c.Stage, c.Prompt, c.From) {
		w.Header().Set(faultinject.HeaderNotRun, "1")
		http.Error(w, "partial is not the text of the first tokens", http.StatusBadRequest)
		return
	}
	ctx, unregister := e.register(r.Context(), c)
	defer unregister()
	if !e.slots.Acquire(ctx, c.Priority) {
		return
	}
	defer e.slots.Release()
	g := &generation{Engine: e, call: c, w: w, start: time.Now()}
	g.run(ctx, arrival)
}

// register makes a call cancellable and its KV cache exportable until the returned
// function is called.
func (e *Engine) register(ctx context.Context, c stageRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	name, handle := callName(c.Request, c.Stage, c.Attempt), handleOf(c.Request, c.Stage)
	e.mu.Lock()
	e.cancels[name] = cancel
	e.exportable[handle] = true
	e.mu.Unlock()
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.cancels, name)
		delete(e.exportable, handle)
	}
}

// generation is the execution of one call in the batch.
type generation struct {
	*Engine
	call      stageRequest
	w         http.ResponseWriter
	start     time.Time
	generated int  // tokens generated
	size      int  // bytes of generated text
	cached    int  // prompt tokens found in the prefix cache
	imported  bool // whether the call used an exported KV cache
}

// run generates the tokens of the call until it is complete or ctx ends, and records
// the execution in the ledger.
func (g *generation) run(ctx context.Context, arrival time.Time) {
	c := g.call
	end := g.ledger.Start(ledger.Entry{
		Endpoint: g.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
		From: c.From, Arrival: arrival,
	})
	complete := false
	defer func() {
		end(func(e *ledger.Entry) {
			e.Tokens, e.Cached, e.Imported, e.Cancelled = g.generated, g.cached, g.imported, !complete
		})
	}()
	g.w.Header().Set("Content-Type", "text/event-stream")
	if !pause.For(ctx, g.prefillTime()) {
		return
	}
	for i := c.From; i < c.Tokens; i++ {
		if i > c.From && !pause.For(ctx, g.tokenTime()) {
			return
		}
		g.sendToken(i)
	}
	complete = true
	g.emit(streamEvent{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Done: true, Size: g.size,
		Tokens: g.generated, Cached: g.cached, Prompt: len(c.Prompt) / bytesPerToken,
		Busy: time.Since(g.start).Microseconds(), Reason: "length",
	})
}

// prefillTime returns the time to the first token. Cached and imported prompt tokens
// take no time.
func (g *generation) prefillTime() time.Duration {
	tokens := len(g.call.Prompt) / bytesPerToken
	g.cached = int(g.cache.Use(g.call.Prompt) * float64(tokens))
	g.imported = g.call.Import != "" && g.call.Import == handleOf(g.call.Request, g.call.Stage)
	if g.imported {
		return g.options.FirstToken
	}
	return g.options.FirstToken + time.Duration(tokens-g.cached)*g.options.PromptToken
}

// tokenTime returns the time until the next token. It grows with the batch.
func (g *generation) tokenTime() time.Duration {
	others := float64(g.slots.Running() - 1)
	return time.Duration(float64(g.options.TokenInterval) * (1 + g.options.BatchOverhead*others))
}

// sendToken sends token i.
func (g *generation) sendToken(i int) {
	c := g.call
	text := output.Token(c.Request, c.Stage, c.Prompt, i)
	g.emit(streamEvent{Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Index: i, Text: text})
	g.size += len(text)
	g.generated++
}

// emit writes a server-sent event and flushes it.
func (g *generation) emit(event streamEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Sprintf("engine: encoding event: %v", err))
	}
	fmt.Fprintf(g.w, "data: %s\n\n", data)
	http.NewResponseController(g.w).Flush()
}
