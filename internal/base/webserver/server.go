// Package webserver provides an HTTP server that answers what has arrived before it stops.
//
// Shutdown of net/http closes the listener with the connections that were not accepted, closes
// connections that it takes for idle although a request may have arrived on them, and drops, without
// an answer, each request that is read afterwards. A process that gets little processor time loses
// many requests that way, which came long before the stop.
package webserver

// This file defines Server.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/intake"
	"github.com/jacinthstile/jacinthstile/internal/base/guard"
	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/base/peek"
)

const (
	pollInterval = 5 * time.Millisecond // between two looks at the connections
	// settleTime is how long nothing may be unread before that is believed: a request that was just
	// read has not reached its handler.
	settleTime = 4 * pollInterval
	// firstRequestTime is how long the first request of a connection is awaited. Callers send it as soon
	// as they are connected.
	firstRequestTime = 300 * time.Millisecond
)

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	http     *http.Server
	mu       sync.Mutex
	listener net.Listener // nil before Listen
	stopping bool         // the listener was closed
	conns    map[*conn]struct{}
	guard    *guard.Guard // nil for none
	door     *intake.Door
}

// New returns a server with the options of s, which must not be used otherwise, and a function that
// closes it with all its connections. The guard bounds the memory of requests, and the number of connections to
// maxConns; nil bounds nothing.
func New(s *http.Server, g *guard.Guard, maxConns int) (*Server, func()) {
	w := &Server{http: s, conns: make(map[*conn]struct{}), guard: g, door: &intake.Door{MaxConns: maxConns}}
	s.Handler = follow(s.Handler)
	s.ConnContext, s.ConnState = withConn, watchState
	return w, func() { s.Close() }
}

// Listen returns a listener whose connections the server watches. It is to be passed to Serve, possibly
// below encryption or limits. Listen must be called once.
func (s *Server) Listen(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return listener{Listener: l, server: s}
}

// Serve serves the connections of a listener. The error is http.ErrServerClosed after Stop or the
// function that New returned.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Stop accepts no more connections, and returns when all requests that have arrived are answered and
// all connections are closed, or with the error of ctx when that ends. For requests that have arrived
// but were not read it waits for the given time at most, before and after it closes the listener.
// Handlers should ask callers to close their connections meanwhile.
func (s *Server) Stop(ctx context.Context, unread time.Duration) error {
	await(ctx, unread, s.hasQueued)
	if err := s.closeListener(); err != nil {
		return err
	}
	await(ctx, unread, s.hasUnread)
	s.closeUnused()
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) { // of the listener
		return err
	}
	return nil
}

func (s *Server) closeListener() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener == nil {
		return nil
	}
	if err := s.listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// closeUnused closes connections on which nothing has come, which net/http would await.
func (s *Server) closeUnused() {
	s.mu.Lock()
	var unused []*conn
	for c := range s.conns {
		if !c.used.Load() && !c.isPending() {
			unused = append(unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		c.Close()
	}
}

// await waits until nothing has been pending for a moment, at most for the given time or until ctx ends.
func await(ctx context.Context, most time.Duration, pending func() bool) {
	last := time.Now()
	for end := last.Add(most); ; {
		now := time.Now()
		if pending() {
			last = now
		}
		if now.Sub(last) >= settleTime || !now.Before(end) || !pause.For(ctx, pollInterval) {
			return
		}
	}
}

// hasQueued reports whether there are connections that the listener has not accepted.
func (s *Server) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil && peek.Queue(s.listener) > 0
}

// hasUnread reports whether a request has come that was not read, or may still come on a connection of
// which it is the first.
func (s *Server) hasUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isPending() {
			return true
		}
	}
	return false
}
