// Package engine simulates a model engine with continuous batching: an HTTP handler
// that streams generated tokens as server-sent events, with a configurable
// service-time model, a prefix cache, load reports and orders to load models.
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
	"github.com/jacinthstile/jacinthstile/internal/standin/semaphore"
	"github.com/jacinthstile/jacinthstile/internal/standin/weightstore"
)

// Options sets the service-time model and the models of an engine.
type Options struct {
	Name          string
	Slots         int           // largest batch; further calls wait
	FirstToken    time.Duration // time to the first token for an empty prompt
	PromptToken   time.Duration // additional time to the first token for each uncached prompt token
	TokenInterval time.Duration // time between tokens of a stream that is alone in the batch
	BatchOverhead float64       // fraction of TokenInterval that each other stream in the batch adds
	ReportLag     time.Duration // delay of load reports
	Cache         cache.Options
	Models        []string           // models loaded at the start; nil to serve any model
	ModelBytes    map[string]int64   // size of each model in bytes; a model without an entry loads at once
	Fenced        bool               // whether orders older than the current one are rejected
	Weights       *weightstore.Store // store that the weights are loaded from; nil to load at once
}

// Engine is one simulated model engine.
type Engine struct {
	options Options
	ledger  *ledger.Ledger
	slots   *semaphore.Semaphore
	cache   *cache.Cache
	orders  *orders

	mu         sync.Mutex
	cancels    map[string]context.CancelFunc // cancels a running or queued call; the key is from callName
	exportable map[string]bool               // handles of the KV caches of current calls
}

var _ http.Handler = (*Engine)(nil)

// New returns an engine that records its executions in l.
func New(o Options, l *ledger.Ledger) *Engine {
	return &Engine{
		options:    o,
		ledger:     l,
		slots:      semaphore.New(o.Slots, o.ReportLag),
		cache:      cache.New(o.Cache),
		orders:     newOrders(o),
		cancels:    make(map[string]context.CancelFunc),
		exportable: make(map[string]bool),
	}
}

// stagesPath is the path of stage calls.
const stagesPath = "/v1/stages"

// ServeHTTP handles stage calls, their cancellation, load reports, cache events,
// exports of KV caches, and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch route := r.Method + " " + r.URL.Path; {
	case route == "POST "+stagesPath:
		e.handleStage(w, r)
	case strings.HasPrefix(route, "DELETE "+stagesPath+"/"):
		e.handleCancel(w, r)
	case route == "GET /v1/load":
		e.handleLoad(w)
	case route == "GET /v1/events":
		e.handleEvents(w, r)
	case route == "POST /v1/kv/export":
		e.handleExport(w, r)
	case route == "GET /v1/orders":
		writeJSON(w, e.orders.get())
	case route == "POST /v1/orders":
		e.handleOrder(w, r)
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// handleCancel cancels a call: DELETE /v1/stages/REQUEST/STAGE/ATTEMPT.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, stagesPath+"/"), "/")
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
	cancel := e.cancels[callName(parts[0], parts[1], attempt)]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func callName(request, stage string, attempt int) string {
	return fmt.Sprintf("%s/%s/%d", request, stage, attempt)
}

type loadReport struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

func (e *Engine) handleLoad(w http.ResponseWriter) {
	state, age := e.slots.Report()
	writeJSON(w, loadReport{
		Queue: state.Waiting, Running: state.Running, Slots: e.slots.Size(), Age: age.Milliseconds(),
	})
}

type cacheEvent struct {
	Number uint64 `json:"seq"`
	Block  string `json:"block"` // 64 bits in hex
	Drop   bool   `json:"drop,omitempty"`
}

type eventsResponse struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, next := e.cache.After(after)
	out := eventsResponse{Next: next, Events: []cacheEvent{}}
	for _, v := range events {
		out.Events = append(out.Events, cacheEvent{Number: v.Number, Block: fmt.Sprintf("%016x", v.Block), Drop: v.Drop})
	}
	writeJSON(w, out)
}

type exportRequest struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
}

type exportResponse struct {
	Handle string `json:"handle"`
}

// handleExport returns the handle of the KV cache of a current call. Any engine can
// import it.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var q exportRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	handle := handleOf(q.Request, q.Stage)
	e.mu.Lock()
	found := e.exportable[handle]
	e.mu.Unlock()
	if !found {
		http.Error(w, "no such call here", http.StatusNotFound)
		return
	}
	writeJSON(w, exportResponse{Handle: handle})
}

func handleOf(request, stage string) string { return "kv/" + request + "/" + stage }
