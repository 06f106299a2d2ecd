// Package platform stands in for the platform's configuration service: keys
// with versions that can be read and watched, and that can be down or stale.
package platform

// This file defines Platform and its HTTP interface.

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const mostWait = time.Minute

type value struct {
	version uint64
	data    []byte
}

// Platform holds the keys. The zero value is not usable; call New.
type Platform struct {
	mu      sync.Mutex
	keys    map[string]value
	old     map[string]value // what a stale answer holds
	changed chan struct{}    // closed and replaced at each change
	calls   int64
	down    bool
	stale   bool
}

// New returns a platform without keys.
func New() *Platform {
	return &Platform{
		keys:    make(map[string]value),
		old:     make(map[string]value),
		changed: make(chan struct{}),
	}
}

// Put publishes a value and wakes the watchers.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys[key] = value{version: p.keys[key].version + 1, data: data}
	p.wake()
}

// SetDown makes every call fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes every call answer with the values of this moment, or with the current ones again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stale && !p.stale {
		clear(p.old)
		for k, v := range p.keys {
			p.old[k] = v
		}
	}
	p.stale = stale
	p.wake()
}

// Calls returns how many calls came, a waiting watch counted as one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP answers GET /v1/keys/KEY, with ?after=VERSION&wait=DURATION as a long poll.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/keys/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	after, wait := watchOf(r)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		v, found, down, changed := p.get(key)
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case found && (wait == 0 || v.version != after):
			w.Header().Set("Version", strconv.FormatUint(v.version, 10))
			w.Write(v.data)
			return
		case wait == 0:
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) get(key string) (v value, found, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := p.keys
	if p.stale {
		keys = p.old
	}
	v, found = keys[key]
	return v, found, p.down, p.changed
}

func watchOf(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ = time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, mostWait)
}
