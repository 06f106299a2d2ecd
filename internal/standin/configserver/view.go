package configserver

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
	maxWatchWait    = time.Minute
	maxValueBytes   = 1 << 20
	lagPollInterval = 20 * time.Millisecond
)

// View is the configuration service as one reader sees it. Its fields are guarded by
// server.mu.
type View struct {
	server    *Server
	down      bool
	stale     Snapshot                 // versions that this reader sees; nil for the newest ones
	lags      map[string]time.Duration // delay of new values, by key
	overrides map[string][]value       // keys that have other values for this reader
}

var _ http.Handler = (*View)(nil)

// SetDown makes the calls of this reader fail if down is set, or work again.
func (v *View) SetDown(down bool) {
	v.change(func() { v.down = down })
}

// SetStale makes this reader see the values of a snapshot, or the newest ones again
// if s is nil. Keys that are not in the snapshot are not found.
func (v *View) SetStale(s Snapshot) {
	v.change(func() { v.stale = s })
}

// SetLag makes this reader see new values of a key only after the given time.
func (v *View) SetLag(key string, lag time.Duration) {
	v.change(func() { v.lags[key] = lag })
}

// Override publishes a new version of a key that only this reader sees, in place of the
// common value. Lag and stale snapshots don't apply to such keys.
func (v *View) Override(key string, data []byte) {
	v.change(func() {
		history := v.overrides[key]
		v.overrides[key] = append(history, value{version: uint64(len(history)) + 1, data: data, at: time.Now()})
	})
}

// change calls set with the lock held and wakes the watches.
func (v *View) change(set func()) {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	set()
	v.server.wake()
}

// get returns the value of a key as this reader sees it now, whether the service is
// down for this reader, and a channel that is closed at the next change.
func (v *View) get(key string) (found value, ok, down bool, changed <-chan struct{}) {
	srv := v.server
	srv.mu.Lock()
	defer srv.mu.Unlock()
	history := srv.keys[key]
	if own := v.overrides[key]; own != nil {
		return own[len(own)-1], true, v.down || srv.down, srv.changed
	}
	for _, s := range []Snapshot{srv.stale, v.stale} {
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
	return found, ok, v.down || srv.down, srv.changed
}

type troubleRequest struct {
	Down  *bool `json:"down"`
	Stale *bool `json:"stale"` // true freezes the current values
}

// ServeHTTP handles GET /v1/keys/KEY, which is a long poll with
// ?after=VERSION&wait=DURATION; PUT /v1/keys/KEY, which publishes a value for all
// readers; and PUT /trouble, which sets the faults of this view.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/keys/")
	switch {
	case r.Method == http.MethodGet && isKey:
		v.handleRead(w, r, key)
	case r.Method == http.MethodPut && isKey:
		data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes))
		if err != nil {
			return
		}
		v.server.Put(key, data)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && r.URL.Path == "/trouble":
		v.handleTrouble(w, r)
	default:
		http.NotFound(w, r)
	}
}

// handleTrouble sets the faults that the request body contains.
func (v *View) handleTrouble(w http.ResponseWriter, r *http.Request) {
	var c troubleRequest
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
			s = v.server.Snapshot()
		}
		v.SetStale(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleRead answers a read at once, and a watch when the version differs from the
// one in the request or the wait is over.
func (v *View) handleRead(w http.ResponseWriter, r *http.Request, key string) {
	v.server.mu.Lock()
	v.server.calls++
	v.server.mu.Unlock()
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
		case <-v.lagTimer(key):
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lagTimer returns a channel that fires after lagPollInterval if the key has a lag,
// since then its visible value can change without a call of wake. Otherwise it
// returns nil.
func (v *View) lagTimer(key string) <-chan time.Time {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	if v.lags[key] == 0 {
		return nil
	}
	return time.After(lagPollInterval)
}

// watchOf returns the parameters of a watch. The wait is 0 for a read.
func watchOf(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ = time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, maxWatchWait)
}
