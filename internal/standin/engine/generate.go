package engine

// This file generates the tokens of a call.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
)

type wireCall struct {
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

type wireEvent struct {
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

// textPerToken is how many bytes of a prompt make one token.
const textPerToken = 4

func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	var c wireCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.serves(c.Model) {
		w.Header().Set(trouble.HeaderNotRun, "1")
		http.Error(w, "model "+c.Model+" is not loaded", http.StatusServiceUnavailable)
		return
	}
	if c.Partial != answer.Text(c.Request, c.Stage, c.Prompt, c.From) {
		w.Header().Set(trouble.HeaderNotRun, "1")
		http.Error(w, "partial is not the text of the first tokens", http.StatusBadRequest)
		return
	}
	ctx, leave := e.enter(r.Context(), c)
	defer leave()
	if !e.queue.Acquire(ctx, c.Priority) {
		return
	}
	defer e.queue.Release()
	g := &generation{Engine: e, call: c, w: w, start: time.Now()}
	g.run(ctx, arrival)
}

// enter lets a call be cancelled and its KV cache be exported until leave is called.
func (e *Engine) enter(ctx context.Context, c wireCall) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	name, handle := callName(c.Request, c.Stage, c.Attempt), handleOf(c.Request, c.Stage)
	e.mu.Lock()
	e.calls[name] = cancel
	e.seen[handle] = true
	e.mu.Unlock()
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.calls, name)
		delete(e.seen, handle)
	}
}

// generation is one call in the batch.
type generation struct {
	*Engine
	call     wireCall
	w        http.ResponseWriter
	start    time.Time
	made     int // tokens
	size     int // bytes
	cached   int // prompt tokens
	imported bool
}

func (g *generation) run(ctx context.Context, arrival time.Time) {
	c := g.call
	end := g.ledger.Start(ledger.Entry{
		Endpoint: g.options.Name, Request: c.Request, Stage: c.Stage, Attempt: c.Attempt,
		From: c.From, Arrival: arrival,
	})
	whole := false
	defer func() {
		end(func(e *ledger.Entry) {
			e.Tokens, e.Cached, e.Imported, e.Cancelled = g.made, g.cached, g.imported, !whole
		})
	}()
	g.w.Header().Set("Content-Type", "text/event-stream")
	if !pause.For(ctx, g.prefill()) {
		return
	}
	for i := c.From; i < c.Tokens; i++ {
		if i > c.From && !pause.For(ctx, g.step()) {
			return
		}
		g.token(i)
	}
	whole = true
	g.emit(wireEvent{
		Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Done: true, Size: g.size,
		Tokens: g.made, Cached: g.cached, Prompt: len(c.Prompt) / textPerToken,
		Busy: time.Since(g.start).Microseconds(), Reason: "length",
	})
}

// prefill returns the time until the first token. Cached and imported prompt tokens take none.
func (g *generation) prefill() time.Duration {
	tokens := len(g.call.Prompt) / textPerToken
	g.cached = int(g.cache.Use(g.call.Prompt) * float64(tokens))
	g.imported = g.call.Import != "" && g.call.Import == handleOf(g.call.Request, g.call.Stage)
	if g.imported {
		return g.options.First
	}
	return g.options.First + time.Duration(tokens-g.cached)*g.options.Prompt
}

// step returns the time between two tokens, which grows with the batch.
func (g *generation) step() time.Duration {
	others := float64(g.queue.Running() - 1)
	return time.Duration(float64(g.options.Token) * (1 + g.options.Growth*others))
}

func (g *generation) token(i int) {
	c := g.call
	text := answer.Token(c.Request, c.Stage, c.Prompt, i)
	g.emit(wireEvent{Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Index: i, Text: text})
	g.size += len(text)
	g.made++
}

func (g *generation) emit(event wireEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Sprintf("engine: encoding event: %v", err))
	}
	fmt.Fprintf(g.w, "data: %s\n\n", data)
	http.NewResponseController(g.w).Flush()
}
