package platform

// This file defines View, its faults and its HTTP interface.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	mostWait  = time.Minute
	mostValue = 1 << 20 // bytes
	lookEvery = 20 * time.Millisecond
)

// View is the platform as one reader sees it. Its fields are guarded by the platform's lock.
type View struct {
	platform *Platform
	down     bool
	stale    Snapshot // nil for the newest values
	lags     map[string]time.Duration
	own      map[string][]value // keys that this reader sees apart from the others
}

var _ http.Handler = (*View)(nil)

// SetDown makes every call fail, or work again.
func (v *View) SetDown(down bool) {
	v.change(func() { v.down = down })
}

// SetStale makes every call answer with the values of a snapshot, or with the
// newest again when s is nil. Keys that the snapshot lacks are not found.
func (v *View) SetStale(s Snapshot) {
	v.change(func() { v.stale = s })
}

// SetLag makes a key answer with the value that it had some time ago.
func (v *View) SetLag(key string, lag time.Duration) {
	v.change(func() { v.lags[key] = lag })
}

// Put publishes a value of a key that this reader alone sees, in place of the common one.
func (v *View) Put(key string, data []byte) {
	v.change(func() {
		history := v.own[key]
		v.own[key] = append(history, value{version: uint64(len(history)) + 1, data: data, at: time.Now()})
	})
}

func (v *View) change(set func()) {
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	set()
	v.platform.wake()
}

// get returns the value of a key as this reader sees it now.
func (v *View) get(key string) (found value, ok, down bool, changed <-chan struct{}) {
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.keys[key]
	if own := v.own[key]; own != nil {
		return own[len(own)-1], true, v.down || p.down, p.changed
	}
	for _, s := range []Snapshot{p.stale, v.stale} {
		if s != nil {
			history = history[:min(s[key], uint64(len(history)))]
		}
	}
	for len(history) > 1 && time.Since(history[len(history)-1].at) < v.lags[key] {
		history = history[:len(history)-1]
	}
	if len(history) > 0 {
		found, ok = history[len(history)-1], true
	}
	return found, ok, v.down || p.down, p.changed
}

type wireView struct {
	Down  *bool `json:"down"`
	Stale *bool `json:"stale"` // true holds the values of this moment
}

// ServeHTTP answers GET /v1/keys/KEY, with ?after=VERSION&wait=DURATION as a
// long poll, PUT /v1/keys/KEY for whoever publishes, and PUT /trouble.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/keys/")
	switch {
	case r.Method == http.MethodGet && isKey:
		v.read(w, r, key)
	case r.Method == http.MethodPut && isKey:
		data, err := io.ReadAll(io.LimitReader(r.Body, mostValue))
		if err != nil {
			return
		}
		v.platform.Put(key, data)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && r.URL.Path == "/trouble":
		v.control(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (v *View) control(w http.ResponseWriter, r *http.Request) {
	var c wireView
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.Down != nil {
		v.SetDown(*c.Down)
	}
	if c.Stale != nil {
		var s Snapshot
		if *c.Stale {
			s = v.platform.Snapshot()
		}
		v.SetStale(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (v *View) read(w http.ResponseWriter, r *http.Request, key string) {
	v.platform.mu.Lock()
	v.platform.calls++
	v.platform.mu.Unlock()
	after, wait := watchOf(r)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		found, ok, down, changed := v.get(key)
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case ok && (wait == 0 || found.version != after):
			w.Header().Set("Version", strconv.FormatUint(found.version, 10))
			w.Write(found.data)
			return
		case wait == 0:
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-v.lagging(key):
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lagging returns a channel that fires soon where a lag can change the answer, else nil.
func (v *View) lagging(key string) <-chan time.Time {
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	if v.lags[key] == 0 {
		return nil
	}
	return time.After(lookEvery)
}

func watchOf(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ = time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, mostWait)
}
