package webserver

// This file defines the listener and the connections that a server watches.

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/intake"
	"github.com/jacinthstile/jacinthstile/internal/base/peek"
)

const (
	fieldBytes  = 200 // memory of a field of a head and of its copy, without its bytes
	cipherBytes = 20  // memory for each byte of a head that is encrypted, which may be a short field's
	// An answer of which answerPiece bytes are not read within answerTime is given up.
	answerPiece = 32 << 10
	answerTime  = 30 * time.Second
)

// errShed is the error of reads from a connection that the guard closes.
var errShed = errors.New("too much memory is held by requests")

// listener is a net.Listener whose connections the server knows.
type listener struct {
	net.Listener
	server *Server
}

var _ net.Listener = listener{}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.watch(raw); c != nil {
			return c, nil
		}
	}
}

// watch returns an accepted connection as one that the server knows, or nil if it was closed because there are too many.
func (s *Server) watch(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, accepted: time.Now(), head: true}
	if s.guard != nil {
		c.client = intake.Client{Address: hostOf(raw.RemoteAddr()), Door: s.door, Shed: c.shed}
		if !s.guard.Open(&c.client) {
			raw.Close()
			return nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server   *Server
	client   intake.Client // unused without a guard
	accepted time.Time
	used     atomic.Bool // bytes were read
	cipher   atomic.Bool // the bytes are encrypted
	unread   bool        // the handler has not read the whole body; used only by the goroutine that serves the connection

	mu         sync.Mutex
	head       bool      // what comes is part of a head
	body       bool      // a handler reads a body
	refused    bool      // the guard sheds the client
	writeLimit time.Time // zero for none
}

var _ net.Conn = (*conn)(nil)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.used.Store(true)
		if !c.receive(p[:n]) {
			return 0, errShed
		}
	}
	return n, err
}

// receive records bytes that have come, and takes memory for those of a head. It reports false if the connection is to be closed.
func (c *conn) receive(p []byte) bool {
	if c.server.guard == nil {
		return true
	}
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	c.server.guard.Progress(&c.client)
	switch {
	case !head:
		return true
	case c.cipher.Load():
		return c.server.guard.Reserve(&c.client, int64(cipherBytes*len(p)))
	default:
		return c.server.guard.Reserve(&c.client, int64(len(p)+fieldBytes*bytes.Count(p, []byte{'\n'})))
	}
}

// shed ends what the connection is used for: the read of a body fails, after which the request is refused; else the connection
// is closed.
func (c *conn) shed() {
	c.mu.Lock()
	c.refused = true
	body := c.body
	c.mu.Unlock()
	if body {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.Close()
}

// begin sets what the bytes of the connection are from now on, and what it is used for. It reports false if the client is
// shed.
func (c *conn) begin(head, body bool, p intake.Phase) bool {
	c.mu.Lock()
	c.head, c.body = head, body
	c.mu.Unlock()
	return c.server.guard == nil || c.server.guard.Begin(&c.client, p)
}

func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeLimit = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.Conn.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn. It fails if the caller does not read.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		piece := p[written:min(written+answerPiece, len(p))]
		limit := time.Now().Add(answerTime)
		c.mu.Lock()
		if !c.writeLimit.IsZero() && c.writeLimit.Before(limit) {
			limit = c.writeLimit
		}
		c.mu.Unlock()
		if err := c.Conn.SetWriteDeadline(limit); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		if n > 0 && c.server.guard != nil {
			c.server.guard.Sent(&c.client)
		}
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	if c.server.guard != nil {
		c.server.guard.Close(&c.client)
	}
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// isPending reports whether bytes have come that were not read, or may be on their way as the first ones.
func (c *conn) isPending() bool {
	switch peek.Conn(c.Conn) {
	case peek.Unread:
		return true
	case peek.Quiet:
		return !c.used.Load() && time.Since(c.accepted) < firstRequestTime
	default:
		return false
	}
}
