package client

// This file defines wire and sending, which decide at the connection itself
// whether a request may leave and whether it has left.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var (
	errReplay  = errors.New("the request has left on another connection and may not be repeated")
	errRevoked = errors.New("the request was given up before it left")
)

// wire is a connection to an endpoint that asks the request it carries before
// it writes.
type wire struct {
	net.Conn
	current atomic.Pointer[sending]
}

var _ net.Conn = (*wire)(nil)

// Write writes p unless the current request may not be sent.
func (w *wire) Write(p []byte) (int, error) {
	if s := w.current.Load(); s != nil {
		if err := s.begin(w); err != nil {
			return 0, err
		}
	}
	return w.Conn.Write(p)
}

// sending is the right of one request to be sent.
type sending struct {
	once  bool
	check func() error

	mu      sync.Mutex
	on      *wire // the connection that a byte may have left on; nil before
	revoked bool
}

// begin takes the right to write on w. A write that fails counts as one that
// left, since part of it may have.
func (s *sending) begin(w *wire) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.on == w:
		return nil
	case s.revoked:
		return errRevoked
	case s.on != nil && s.once:
		return errReplay
	}
	if s.check != nil {
		if err := s.check(); err != nil {
			return err
		}
	}
	s.on = w
	return nil
}

// revoke ends the right to be sent. It reports whether no byte has left.
func (s *sending) revoke() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return s.on == nil
}
