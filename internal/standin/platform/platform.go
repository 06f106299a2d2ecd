// Package platform stands in for the platform's configuration service: keys
// with versions that can be read and watched. Each reader can see it down,
// stale or late, apart from the others.
package platform

// This file defines Platform: its keys and their history.

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// value is one version of a key.
type value struct {
	version uint64
	data    []byte
	at      time.Time
}

// Platform holds the keys. The zero value is not usable; call New.
type Platform struct {
	mu      sync.Mutex
	keys    map[string][]value // all versions of each key, the oldest first
	changed chan struct{}      // closed and replaced at each change
	views   map[string]*View
	calls   int64
	down    bool     // for all readers
	stale   Snapshot // for all readers; nil for the newest values
}

// Snapshot is the version that each key had at one moment.
type Snapshot map[string]uint64

// New returns a platform without keys.
func New() *Platform {
	return &Platform{
		keys:    make(map[string][]value),
		changed: make(chan struct{}),
		views:   make(map[string]*View),
	}
}

// Put publishes a value and wakes the watchers.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.keys[key]
	p.keys[key] = append(history, value{version: uint64(len(history)) + 1, data: data, at: time.Now()})
	p.wake()
}

// Snapshot returns the versions of this moment.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := make(Snapshot, len(p.keys))
	for key, history := range p.keys {
		s[key] = uint64(len(history))
	}
	return s
}

// SetDown makes every call of every reader fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes every call of every reader answer with the values of this
// moment, or with the newest ones again.
func (p *Platform) SetStale(stale bool) {
	s := p.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !stale:
		p.stale = nil
	case p.stale == nil:
		p.stale = s
	}
	p.wake()
}

// Calls returns how many calls came over all views, a waiting watch counted as one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// View returns what the reader of that name sees. The same name gives the same view.
func (p *Platform) View(name string) *View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.views[name]
	if v == nil {
		v = &View{platform: p, lags: make(map[string]time.Duration), own: make(map[string][]value)}
		p.views[name] = v
	}
	return v
}

// Views returns every view there is.
func (p *Platform) Views() []*View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.views))
}

// ServeHTTP serves the view that ?reader=NAME names, or the view without a name.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.View(r.URL.Query().Get("reader")).ServeHTTP(w, r)
}

// wake wakes the watchers. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
