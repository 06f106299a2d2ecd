// Package configserver simulates the platform's configuration service, a key-value store
// whose keys have versions and can be watched. Faults can be set for all readers or
// for a single one: the service is down, returns stale values, or returns new values
// with a delay.
package configserver

// This file defines the keys, their history and the faults for all readers.

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// value is the value of a key at one version.
type value struct {
	version uint64
	data    []byte
	at      time.Time // when it was published
}

// Server holds the keys. Create it with New. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	keys    map[string][]value // all versions of each key, the oldest first
	changed chan struct{}      // closed and replaced at each change; wakes watches
	views   map[string]*View
	calls   int64
	down    bool     // whether the service is down for all readers
	stale   Snapshot // versions that all readers see; nil for the newest ones
}

// Snapshot holds the version of each key at one time.
type Snapshot map[string]uint64

// New returns a configuration service without keys.
func New() *Server {
	return &Server{
		keys:    make(map[string][]value),
		changed: make(chan struct{}),
		views:   make(map[string]*View),
	}
}

// Put publishes a new version of a key and wakes the watches.
func (srv *Server) Put(key string, data []byte) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	history := srv.keys[key]
	srv.keys[key] = append(history, value{version: uint64(len(history)) + 1, data: data, at: time.Now()})
	srv.wake()
}

// Snapshot returns the current versions of all keys.
func (srv *Server) Snapshot() Snapshot {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	s := make(Snapshot, len(srv.keys))
	for key, history := range srv.keys {
		s[key] = uint64(len(history))
	}
	return s
}

// SetDown makes the calls of all readers fail if down is set, or work again.
func (srv *Server) SetDown(down bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.down = down
	srv.wake()
}

// SetStale freezes the values that all readers see at the current ones if stale is
// set, or lets them see the newest values again.
func (srv *Server) SetStale(stale bool) {
	s := srv.Snapshot()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	switch {
	case !stale:
		srv.stale = nil
	case srv.stale == nil:
		srv.stale = s
	}
	srv.wake()
}

// Calls returns the number of calls received over all views. A watch counts as one
// call.
func (srv *Server) Calls() int64 {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.calls
}

// View returns the view of the reader with the given name. It is created on first
// use.
func (srv *Server) View(name string) *View {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	v := srv.views[name]
	if v == nil {
		v = &View{server: srv, lags: make(map[string]time.Duration), overrides: make(map[string][]value)}
		srv.views[name] = v
	}
	return v
}

// Views returns all views, in no particular order.
func (srv *Server) Views() []*View {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return slices.Collect(maps.Values(srv.views))
}

// ServeHTTP serves the view of the reader given by ?reader=NAME, or the view with an
// empty name.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	srv.View(r.URL.Query().Get("reader")).ServeHTTP(w, r)
}

// wake wakes the watches. The caller holds srv.mu.
func (srv *Server) wake() {
	close(srv.changed)
	srv.changed = make(chan struct{})
}
