//go:build review2

package main

// This file is a stand-in for the platform's store.

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const pageItems = 500

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store serves reads and watches. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{} // closed at the next change
	waiting int           // watches
	cut     chan struct{} // closed when the waiting watches are cut
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), changed: make(chan struct{}), cut: make(chan struct{})}
}

// put writes a key, or deletes it if value is nil. It returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	it := item{Key: key, Deleted: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		it.Value = data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Rev, it.Created = s.rev, s.rev
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if s.items[key] = it; it.Deleted {
		delete(s.items, key)
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case wireName("range"):
		s.list(w, q.Get("prefix"), q.Get("after"))
	case wireName("watch"):
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, k := range keys[:min(pageItems, len(keys))] {
		items = append(items, s.items[k])
	}
	reply(w, map[string]any{"items": items, "has_more": len(keys) > pageItems, "at": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events, at, changed, cut := []item{}, s.rev, s.changed, s.cut
		for _, it := range s.events {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || last {
			s.mu.Unlock()
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		s.waiting++
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if r.Context().Err() != nil {
			return
		}
	}
}

// cutWatches closes the channels of the watches that are waiting, and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.waiting
	s.waiting = 0
	close(s.cut)
	s.cut = make(chan struct{})
	return n
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body) // fails if the reader has left
}
