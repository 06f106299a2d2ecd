package engine

// This file takes orders to load models and to change role.

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

type wireModel struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

type wireOrders struct {
	Epoch   uint64      `json:"epoch"`
	Version uint64      `json:"version"`
	Role    string      `json:"role"`
	Models  []wireModel `json:"models"`
	Loading bool        `json:"loading"`
}

// orders holds what an engine was told last, and what it has loaded.
type orders struct {
	options Options

	mu     sync.Mutex
	held   wireOrders
	loaded []string // names of models; nil for any
	stop   context.CancelFunc
}

func newOrders(o Options) *orders {
	s := &orders{options: o, loaded: o.Models, stop: func() {}}
	s.held.Models = []wireModel{}
	for _, name := range o.Models {
		s.held.Models = append(s.held.Models, wireModel{Name: name})
	}
	return s
}

func (s *orders) get() wireOrders {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// serves reports whether a model is loaded.
func (s *orders) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded == nil || model == "" || slices.Contains(s.loaded, model)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wireOrders
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.take(o) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	writeJSON(w, e.orders.get())
}

// take starts what an order asks for. It reports false where the engine checks
// fencing numbers and the order's is old. A repeated order changes nothing.
func (s *orders) take(o wireOrders) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := o.Epoch < s.held.Epoch || o.Epoch == s.held.Epoch && o.Version < s.held.Version
	if old && s.options.Fenced {
		return false
	}
	same := o.Role == s.held.Role && slices.Equal(o.Models, s.held.Models)
	s.held.Epoch, s.held.Version = o.Epoch, o.Version
	if same {
		return true
	}
	s.stop()
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	s.held.Role, s.held.Models, s.held.Loading = o.Role, o.Models, true
	go s.load(ctx, o.Models)
	return true
}

// load fetches the weights that are not loaded; the models before serve meanwhile.
func (s *orders) load(ctx context.Context, models []wireModel) {
	names := []string{}
	for _, m := range models {
		names = append(names, m.Name)
		if s.options.Weights == nil || s.serves(m.Name) {
			continue
		}
		if s.options.Weights.Load(ctx, s.options.Sizes[m.Name]) != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.loaded, s.held.Loading = names, false
	}
}
