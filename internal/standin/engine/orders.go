package engine

// This file handles orders to load models and to change the role.

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

type model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

type orderState struct {
	Epoch   uint64  `json:"epoch"`
	Version uint64  `json:"version"`
	Role    string  `json:"role"`
	Models  []model `json:"models"`
	Loading bool    `json:"loading"`
}

// orders holds the last order that an engine accepted and the models it has loaded.
type orders struct {
	options Options

	mu      sync.Mutex
	current orderState
	loaded  []string           // names of the models it serves; nil for any
	cancel  context.CancelFunc // cancels the load in progress
}

func newOrders(o Options) *orders {
	s := &orders{options: o, loaded: o.Models, cancel: func() {}}
	s.current.Models = []model{}
	for _, name := range o.Models {
		s.current.Models = append(s.current.Models, model{Name: name})
	}
	return s
}

func (s *orders) get() orderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// serves reports whether the engine serves a model. An empty name means any model.
func (s *orders) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded == nil || model == "" || slices.Contains(s.loaded, model)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderState
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.accept(o) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	writeJSON(w, e.orders.get())
}

// accept starts to carry out an order. It reports false if the engine rejects
// orders that are older than the current one (Options.Fenced) and the order is. An
// order with the current role and models only updates the version.
func (s *orders) accept(o orderState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := o.Epoch < s.current.Epoch || o.Epoch == s.current.Epoch && o.Version < s.current.Version
	if stale && s.options.Fenced {
		return false
	}
	same := o.Role == s.current.Role && slices.Equal(o.Models, s.current.Models)
	s.current.Epoch, s.current.Version = o.Epoch, o.Version
	if same {
		return true
	}
	s.cancel()
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.current.Role, s.current.Models, s.current.Loading = o.Role, o.Models, true
	go s.load(ctx, o.Models)
	return true
}

// load loads the models that are not loaded yet. Meanwhile the engine serves the
// models that it had before.
func (s *orders) load(ctx context.Context, models []model) {
	names := []string{}
	for _, m := range models {
		names = append(names, m.Name)
		if s.options.Weights == nil || s.serves(m.Name) {
			continue
		}
		if s.options.Weights.Load(ctx, s.options.ModelBytes[m.Name]) != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.loaded, s.current.Loading = names, false
	}
}
