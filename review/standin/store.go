//go:build review

package main

// This file is a stand-in for the platform's metadata store.

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store holds the items and their changes. Reads are linearizable.
type store struct {
	mu      sync.Mutex
	era     uint64 // 0: no header
	rev     uint64
	first   uint64 // watches from an earlier revision get 410
	down    bool
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: data, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP serves reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case wire("keyPath"):
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(it)
	case wire("rangePath"):
		s.list(w, r)
	case wire("watchPath"):
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	json.NewEncoder(w).Encode(map[string]any{"items": list, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.first || after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
