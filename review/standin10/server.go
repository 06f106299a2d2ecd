//go:build review2

package main

// This file is a worker of a booking service.

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	firstService  = "desk-first"
	secondService = "desk-second"
	workTime      = 60 * time.Millisecond
	answerBytes   = 800
	numSlots      = 6
)

// run is a request that a worker began to work on.
type run struct{ id, service string }

// server is a worker.
type server struct {
	id, service string
	listener    net.Listener
	record      *record
	slots       chan struct{}

	mu   sync.Mutex
	runs []run
}

func newServer(id, service string, l net.Listener, r *record) *server {
	return &server{id: id, service: service, listener: l, record: r, slots: make(chan struct{}, numSlots)}
}

func (s *server) serve() { _ = http.Serve(s.listener, s) } // until the listener is closed

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names["instance"], s.id)
		return
	}
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // it broke off, and is not run
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs = append(s.runs, run{id, s.service})
	s.mu.Unlock()
	s.record.line("worker", id, "run by "+s.id+" of "+s.service)
	time.Sleep(workTime)
	w.Header().Set(names["signature"], "3e1b.07."+id)
	_, _ = io.WriteString(w, strings.Repeat("b", answerBytes)) // the caller may have left
}
