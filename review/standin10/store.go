//go:build review2

package main

// This file is the platform's store.

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	answerTime = 4 * time.Millisecond
	maxWaiting = 30 * time.Second
)

// item is a key with its value, which is encoded as base64.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int    `json:"rev"`
	Created int    `json:"created"`
	Lease   int    `json:"lease"`
}

// store holds items. It serves each daemon on a listener of its own, so that it knows who calls.
type store struct {
	mu       sync.Mutex
	items    []item // sorted by key
	rev      int
	changed  chan struct{} // closed at the next change
	watching chan *daemon  // receives who begins a watch, while that is awaited
}

func newStore() *store {
	return &store{changed: make(chan struct{}), watching: make(chan *daemon)}
}

// put writes an item and returns the time at which that is confirmed.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: []byte(value), Rev: s.rev, Created: s.rev}
	i, known := slices.BinarySearchFunc(s.items, key, func(it item, key string) int { return strings.Compare(it.Key, key) })
	if known {
		it.Created = s.items[i].Created
		s.items[i] = it
	} else {
		s.items = slices.Insert(s.items, i, it)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serve(l net.Listener, d *daemon) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["range"], s.list)
	mux.HandleFunc("GET "+names["watch"], func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, d) })
	_ = http.Serve(l, mux) // until the listener is closed
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, r.FormValue("prefix")) && it.Key > r.FormValue("after") {
			found = append(found, it)
		}
	}
	answer(w, map[string]any{"items": found, "has_more": false, "at": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, d *daemon) {
	after, err1 := strconv.Atoi(r.FormValue("after"))
	ms, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.watching <- d:
	default: // nobody waits for it
	}
	end := time.After(min(maxWaiting, time.Duration(ms)*time.Millisecond))
	time.Sleep(answerTime)
	for {
		s.mu.Lock()
		events, at, changed := s.since(after), s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the items that were written after a revision, in that order. Nothing is deleted.
func (s *store) since(rev int) []item {
	var list []item
	for _, it := range s.items {
		if it.Rev > rev {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return a.Rev - b.Rev })
	return list
}

// awaitWatch returns the daemon that begins the next watch, and false if none does in the given time.
func (s *store) awaitWatch(most time.Duration) (*daemon, bool) {
	select {
	case d := <-s.watching:
		return d, true
	case <-time.After(most):
		return nil, false
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
