// Package trouble puts faults between a stand-in and its callers, on demand:
// for the next calls or for all, and for some paths or stages only.
package trouble

// This file defines Trouble, Fault and the choice of the fault of a call.

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

// Kind names what goes wrong.
type Kind string

// Kinds of fault.
const (
	DeadBefore Kind = "dead-before" // the connection is closed before the call is read
	DeadAfter  Kind = "dead-after"  // the connection is closed after the call has run
	Slow       Kind = "slow"        // the call takes Factor times as long
	Errored    Kind = "error"       // the call runs, and the answer is an error status
	Refused    Kind = "refused"     // the call is refused before it runs
	Doubled    Kind = "doubled"     // every piece of the answer is sent twice
	Late       Kind = "late"        // the answer is held back for Delay, also when the caller has left
	Swapped    Kind = "swapped"     // the answer is of another request
	Cut        Kind = "cut"         // the connection is closed after At pieces or in the middle of a body
	Short      Kind = "short"       // as Cut, but the answer ends as a whole one would
)

// Kinds lists every kind.
var Kinds = []Kind{DeadBefore, DeadAfter, Slow, Errored, Refused, Doubled, Late, Swapped, Cut, Short}

// HeaderNotRun marks a refusal of a call that did not run.
const HeaderNotRun = "Jacinthstile-Not-Run"

const (
	headerRequest = "Jacinthstile-Request"
	controlPath   = "/trouble"
	slowFactor    = 10
	mostBody      = 8 << 20 // bytes of a call
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind   Kind          `json:"kind"`
	Times  int           `json:"times"` // calls that meet it; 0 for all
	Stage  string        `json:"stage"` // a part of "ENDPOINT STAGE" or "ENDPOINT METHOD PATH"; empty for all
	At     int           `json:"at"`    // pieces of the answer that come first, for Cut and Short
	Delay  time.Duration `json:"delay"` // in nanoseconds, for Late
	Factor int           `json:"factor"`
}

// Trouble holds the faults of one endpoint. It is safe for concurrent use.
type Trouble struct {
	mu     sync.Mutex
	faults []*Fault
	hooks  []*Hook
	met    map[Kind]int
}

// New returns a Trouble without faults.
func New() *Trouble { return &Trouble{met: make(map[Kind]int)} }

// Add makes calls meet a fault, after those that were added before it.
func (t *Trouble) Add(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Factor == 0 {
		f.Factor = slowFactor
	}
	t.faults = append(t.faults, &f)
}

// Clear ends all faults.
func (t *Trouble) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = nil
}

// Met returns how many calls met a kind of fault.
func (t *Trouble) Met(k Kind) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.met[k]
}

// take returns the fault that a call meets, or nil.
func (t *Trouble) take(stage string) *Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if f.Stage != "" && !strings.Contains(stage, f.Stage) {
			continue
		}
		if f.Times > 0 {
			f.Times--
			if f.Times == 0 {
				t.faults = slices.Delete(t.faults, i, i+1)
			}
		}
		t.met[f.Kind]++
		return f
	}
	return nil
}

// Wrap returns a handler that serves the control path and passes other calls of
// the named endpoint through the faults to h. Load reports, orders and events
// meet no fault. Several endpoints may share a Trouble.
func (t *Trouble) Wrap(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == controlPath {
			t.control(w, r)
			return
		}
		if isControl(r) {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		stage := name + " " + stageOf(r, body)
		met := h
		if f := t.take(stage); f != nil {
			met = f.wrap(h)
		}
		t.hooked(stage, met).ServeHTTP(w, r)
	})
}

func isControl(r *http.Request) bool {
	if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/stages/") {
		return true
	}
	return slices.Contains([]string{"/v1/load", "/v1/orders", "/v1/events", "/v1/kv/export"}, r.URL.Path)
}

// stageOf returns the stage of a call, or the method and path of a plain call.
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

// control adds a fault at POST and ends all at DELETE.
func (t *Trouble) control(w http.ResponseWriter, r *http.Request) {
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
		t.Add(f)
	case http.MethodDelete:
		t.Clear()
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
