// Package faultinject injects faults between a stand-in and its callers. A fault applies
// to a number of calls or to all, and may be limited to certain endpoints, stages or
// paths. Faults are added by tests or over HTTP.
package faultinject

// This file defines Fault, holds the added faults and selects the one for a call.

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of fault.
const (
	DeadBefore Kind = "dead-before" // the connection is closed before the call is executed
	DeadAfter  Kind = "dead-after"  // the connection is closed after the call was executed
	Slow       Kind = "slow"        // the response takes Factor times as long
	Errored    Kind = "error"       // the call is executed, and the response is status 500
	Refused    Kind = "refused"     // the call is refused before it is executed
	Doubled    Kind = "doubled"     // every part of the response is sent twice
	Late       Kind = "late"        // the response is delayed by Delay, even if the caller has gone
	Swapped    Kind = "swapped"     // the response is that of another request
	Cut        Kind = "cut"         // the connection is closed after At events of a stream, or in the middle of a body
	Short      Kind = "short"       // as Cut, but the response ends without a transport error
)

// Kinds lists all kinds.
var Kinds = []Kind{DeadBefore, DeadAfter, Slow, Errored, Refused, Doubled, Late, Swapped, Cut, Short}

// HeaderNotRun is the header of a refusal that says that the call was not executed.
const HeaderNotRun = "Jacinthstile-Not-Run"

const (
	headerRequest = "Jacinthstile-Request"
	controlPath   = "/trouble"
	defaultFactor = 10
	maxBodyBytes  = 8 << 20
)

// Fault is a fault to inject.
type Fault struct {
	Kind   Kind          `json:"kind"`
	Times  int           `json:"times"`  // number of calls that it applies to; 0 for all
	Stage  string        `json:"stage"`  // substring of "ENDPOINT STAGE" or "ENDPOINT METHOD PATH"; empty to match all calls
	At     int           `json:"at"`     // events of a stream that are sent first, for Cut and Short
	Delay  time.Duration `json:"delay"`  // for Late; nanoseconds in JSON
	Factor int           `json:"factor"` // for Slow; 0 for 10
}

// Injector holds the faults and hooks of one or more endpoints. It is safe for
// concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults []*Fault
	hooks  []*Hook
	met    map[Kind]int
}

// New returns an injector without faults and hooks.
func New() *Injector { return &Injector{met: make(map[Kind]int)} }

// Add adds a fault. If several faults match a call, the one added first applies.
func (inj *Injector) Add(f Fault) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if f.Factor == 0 {
		f.Factor = defaultFactor
	}
	inj.faults = append(inj.faults, &f)
}

// Clear removes all faults.
func (inj *Injector) Clear() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.faults = nil
}

// Met returns the number of calls to which a fault of kind k was applied.
func (inj *Injector) Met(k Kind) int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.met[k]
}

// take returns the fault to apply to a call, or nil. It counts the call against
// Fault.Times.
func (inj *Injector) take(stage string) *Fault {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for i, f := range inj.faults {
		if f.Stage != "" && !strings.Contains(stage, f.Stage) {
			continue
		}
		if f.Times > 0 {
			f.Times--
			if f.Times == 0 {
				inj.faults = slices.Delete(inj.faults, i, i+1)
			}
		}
		inj.met[f.Kind]++
		return f
	}
	return nil
}

// Wrap returns a handler that applies the faults and hooks to calls of the named
// endpoint and passes them to h. Load reports, cancellations, orders, cache events
// and exports are passed on without faults. POST /trouble adds a fault, DELETE
// /trouble removes all. Several endpoints may share an injector.
func (inj *Injector) Wrap(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == controlPath {
			inj.handleControl(w, r)
			return
		}
		if isControl(r) {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		stage := name + " " + stageOf(r, body)
		faulty := h
		if f := inj.take(stage); f != nil {
			faulty = f.wrap(h)
		}
		inj.withHooks(stage, faulty).ServeHTTP(w, r)
	})
}

// isControl reports whether a request is passed on without faults.
func isControl(r *http.Request) bool {
	if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/stages/") {
		return true
	}
	return slices.Contains([]string{"/v1/load", "/v1/orders", "/v1/events", "/v1/kv/export"}, r.URL.Path)
}

// stageOf returns the stage of a stage call, or the method and path of any other
// call.
func stageOf(r *http.Request, body []byte) string {
	if r.URL.Path != "/v1/stages" {
		return r.Method + " " + r.URL.Path
	}
	var call struct {
		Stage string `json:"stage"`
	}
	json.Unmarshal(body, &call)
	return call.Stage
}

// handleControl adds a fault at POST and removes all at DELETE.
func (inj *Injector) handleControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !slices.Contains(Kinds, f.Kind) {
			http.Error(w, "got kind "+string(f.Kind)+", want one that is known", http.StatusBadRequest)
			return
		}
		inj.Add(f)
	case http.MethodDelete:
		inj.Clear()
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
