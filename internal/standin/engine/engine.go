// Package engine stands in for a model engine that batches continuously and
// streams its tokens as server-sent events.
package engine

// This file defines Engine and its routes.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/cache"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/queue"
	"github.com/jacinthstile/jacinthstile/internal/standin/store"
)

// Options sets the service-time model of an engine.
type Options struct {
	Name    string
	Slots   int           // streams in the batch at once; more wait
	First   time.Duration // time to the first token of an empty prompt
	Prompt  time.Duration // time for each prompt token that is not cached
	Token   time.Duration // time between tokens of a stream that is alone
	Growth  float64       // share of Token that each other stream of the batch adds
	Lag     time.Duration // age of load reports
	Cache   cache.Options
	Models  []string         // loaded at the start; nil for any model
	Sizes   map[string]int64 // bytes of each model; a model without size loads at once
	Fenced  bool             // refuses orders with an old fencing number
	Weights *store.Store     // nil where weights load at once
}

// Engine is one model engine.
type Engine struct {
	options Options
	ledger  *ledger.Ledger
	queue   *queue.Queue
	cache   *cache.Cache
	orders  *orders

	mu    sync.Mutex
	calls map[string]context.CancelFunc // by the path of the call
	seen  map[string]bool               // requests and stages whose KV cache can be exported
}

var _ http.Handler = (*Engine)(nil)

// New returns an engine that records its executions in l.
func New(o Options, l *ledger.Ledger) *Engine {
	return &Engine{
		options: o,
		ledger:  l,
		queue:   queue.New(o.Slots, o.Lag),
		cache:   cache.New(o.Cache),
		orders:  newOrders(o),
		calls:   make(map[string]context.CancelFunc),
		seen:    make(map[string]bool),
	}
}

const stages = "/v1/stages"

// ServeHTTP answers stage calls, cancels, load reports, cache events, exports and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch route := r.Method + " " + r.URL.Path; {
	case route == "POST "+stages:
		e.stage(w, r)
	case strings.HasPrefix(route, "DELETE "+stages+"/"):
		e.cancel(w, r)
	case route == "GET /v1/load":
		e.load(w)
	case route == "GET /v1/events":
		e.events(w, r)
	case route == "POST /v1/kv/export":
		e.export(w, r)
	case route == "GET /v1/orders":
		writeJSON(w, e.orders.get())
	case route == "POST /v1/orders":
		e.order(w, r)
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// cancel ends a call: DELETE /v1/stages/REQUEST/STAGE/ATTEMPT.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, stages+"/"), "/")
	if len(parts) != 3 {
		http.NotFound(w, r)
		return
	}
	attempt, err := strconv.Atoi(parts[2])
	if err != nil {
		http.NotFound(w, r)
		return
	}
	e.ledger.Cancel(ledger.Cancel{
		Endpoint: e.options.Name, Request: parts[0], Stage: parts[1], Attempt: attempt,
	})
	e.mu.Lock()
	end := e.calls[callName(parts[0], parts[1], attempt)]
	e.mu.Unlock()
	if end != nil {
		end()
	}
	w.WriteHeader(http.StatusNoContent)
}

func callName(request, stage string, attempt int) string {
	return fmt.Sprintf("%s/%s/%d", request, stage, attempt)
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

func (e *Engine) load(w http.ResponseWriter) {
	state, age := e.queue.Report()
	writeJSON(w, wireLoad{
		Queue: state.Waiting, Running: state.Running, Slots: e.queue.Slots(), Age: age.Milliseconds(),
	})
}

type wireBlock struct {
	Number uint64 `json:"seq"`
	Block  string `json:"block"` // 64 bits in hex
	Drop   bool   `json:"drop,omitempty"`
}

type wireBlocks struct {
	Next   uint64      `json:"next"`
	Events []wireBlock `json:"events"`
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, next := e.cache.After(after)
	out := wireBlocks{Next: next, Events: []wireBlock{}}
	for _, v := range events {
		out.Events = append(out.Events, wireBlock{Number: v.Number, Block: fmt.Sprintf("%016x", v.Block), Drop: v.Drop})
	}
	writeJSON(w, out)
}

type wireExport struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
}

type wireHandle struct {
	Handle string `json:"handle"`
}

// export gives the handle of a call's KV cache, which any engine can import.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var q wireExport
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	handle := handleOf(q.Request, q.Stage)
	e.mu.Lock()
	held := e.seen[handle]
	e.mu.Unlock()
	if !held {
		http.Error(w, "no such call here", http.StatusNotFound)
		return
	}
	writeJSON(w, wireHandle{Handle: handle})
}

func handleOf(request, stage string) string { return "kv/" + request + "/" + stage }
