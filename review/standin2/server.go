//go:build review2

package main

// This file is a stand-in for a server of a service without an engine.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// server runs requests, a number of them at once, and queues a few more.
type server struct {
	bed                     *bed
	id, service, zone, addr string
	born                    int64
	slots, queue            int
	work                    func(r *http.Request) time.Duration
	answerBytes             int
	events                  int // of a stream; zero for an answer of answerBytes
	sequence                atomic.Int64
	gone                    atomic.Bool // its registration was removed

	places  chan struct{} // running
	pending atomic.Int64  // running and waiting

	mu      sync.Mutex
	reached map[string]time.Time // when a request arrived, by id
	ran     map[string]time.Time // when it began to run
}

// addServer starts a server and registers it in the store.
func (b *bed) addServer(id, service, zone string, slots, queue, answerBytes int, work func(*http.Request) time.Duration) (*server, error) {
	s := &server{
		bed: b, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, queue: queue, work: work, answerBytes: answerBytes,
		places: make(chan struct{}, slots), reached: make(map[string]time.Time), ran: make(map[string]time.Time),
	}
	addr, err := b.serve("127.0.0.1:0", s)
	if err != nil {
		return nil, err
	}
	s.addr = addr
	s.register("ready")
	done := make(chan struct{})
	b.closers = append(b.closers, func() { close(done) })
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if !s.gone.Load() {
					s.register("ready")
				}
			case <-done:
				return
			}
		}
	}()
	return s, nil
}

func (s *server) register(state string) {
	s.bed.store.put(wireName("servers")+s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "capacity": s.slots, "state": state, wireName("warm"): 0,
		"sequence": s.sequence.Add(1), "born": s.born,
	})
}

// remove removes the registration, and returns the time of the store's confirmation. The server goes on serving.
func (s *server) remove() time.Time {
	s.gone.Store(true)
	return s.bed.store.put(wireName("servers")+s.id, nil)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wireName("id"))
	s.mu.Lock()
	s.reached[id] = time.Now()
	s.mu.Unlock()
	h := w.Header()
	h.Set(wireName("id"), id)
	h.Set(wireName("instance"), s.id)
	if want := r.Header.Get(wireName("expect")); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	if s.pending.Add(1) > int64(s.slots+s.queue) {
		s.pending.Add(-1)
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer s.pending.Add(-1)
	limit := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get(wireName("deadline")), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case s.places <- struct{}{}:
	case <-timer.C:
		s.reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return // a close drops a request that waits
	}
	defer func() { <-s.places }()
	s.mu.Lock()
	s.ran[id] = time.Now()
	s.mu.Unlock()
	s.bed.printf("server %s runs %s", s.id, id)
	if s.events > 0 {
		s.stream(w, r, id)
		return
	}
	select {
	case <-time.After(s.work(r)):
	case <-timer.C:
		h.Set(wireName("signature"), signature(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.bed.printf("server %s drops %s, as its channel was closed", s.id, id)
		return
	}
	h.Set(wireName("signature"), signature(id))
	h.Set(wireName("load"), fmt.Sprintf("%d,%d,%d", min(int(s.pending.Load()), s.slots), max(0, int(s.pending.Load())-s.slots), s.slots))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(s.answerBytes))
	s.bed.printf("server %s answers %s with 200 and %d bytes", s.id, id, s.answerBytes)
	io.WriteString(w, strings.Repeat("a", s.answerBytes)) // fails if the channel was closed
}

// stream answers with events that are spread over the work.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	h.Set(wireName("signature"), signature(id))
	h.Set(wireName("weights"), "1")
	h.Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(s.work(r) / time.Duration(s.events))
	defer tick.Stop()
	for i := range s.events {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			s.bed.printf("server %s drops %s, as its channel was closed", s.id, id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1)
		w.(http.Flusher).Flush()
	}
	s.bed.printf("server %s answers %s with 200 and %d events", s.id, id, s.events)
}

func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(wireName("refused"), "1")
	w.WriteHeader(status)
}

func signature(id string) string { return "mac." + id }

// ranAt returns when a request began to run here, and false if it has not.
func (s *server) ranAt(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.ran[id]
	return at, ok
}
