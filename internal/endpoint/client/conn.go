package client

// This file defines guardedConn and sendPermit. They decide at the write to the
// connection whether a request may be sent and record whether it was, since
// net/http does not tell reliably whether a failed request was sent.
//
// An endpoint may write a response once more when the connection carries the next
// request. Results name their call, but refusals and errors name at most its request,
// so a connection carries no other request after one of those.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var (
	errReplay  = errors.New("the request has left on another connection and may not be repeated")
	errRevoked = errors.New("the request was given up before it left")
	errUnsound = errors.New("the connection's last response may come again")
)

// guardedConn is a connection to an endpoint that checks the permit of its
// current request before each write.
type guardedConn struct {
	net.Conn
	current atomic.Pointer[sendPermit]
	sound   atomic.Bool // another request may be written
}

var _ net.Conn = (*guardedConn)(nil)

// Write writes p if the current request may be sent on this connection.
func (conn *guardedConn) Write(p []byte) (int, error) {
	if s := conn.current.Load(); s != nil {
		if err := s.acquire(conn); err != nil {
			return 0, err
		}
	}
	return conn.Conn.Write(p)
}

// sendPermit is the permission of one request to be sent.
type sendPermit struct {
	once  bool
	check func() error

	mu       sync.Mutex
	usedConn *guardedConn // connection that the request may have been written to; nil before the first write
	revoked  bool
	unsound  bool // a connection was not used since it is not sound
}

// acquire returns an error if the request may not be written to conn, and otherwise
// records that it was. A write that fails later counts too, since a part of it
// may have been sent.
func (s *sendPermit) acquire(conn *guardedConn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.usedConn == conn:
		return nil
	case s.revoked:
		return errRevoked
	case s.usedConn != nil && s.once:
		return errReplay
	}
	if s.check != nil {
		if err := s.check(); err != nil {
			return err
		}
	}
	if !conn.sound.CompareAndSwap(true, false) {
		s.unsound = true
		return errUnsound
	}
	s.usedConn = conn
	return nil
}

// release lets the connection carry other requests after the response to this one. A response that
// came before the request was written leaves no connection to release.
func (s *sendPermit) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usedConn != nil {
		s.usedConn.sound.Store(true)
	}
}

// needsNewConn reports whether nothing was written since the connection was not sound.
func (s *sendPermit) needsNewConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsound && s.usedConn == nil && !s.revoked
}

// revoke forbids any further first write. It reports whether nothing was written.
func (s *sendPermit) revoke() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return s.usedConn == nil
}
