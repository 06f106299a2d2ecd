package transport

// This file counts the bytes of connections and records when a peer last sent
// something.

import (
	"net"
	"sync/atomic"
	"time"
)

// traffic counts the bytes of all sessions of a Transport, including the
// overhead of TLS.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// meteredConn is a connection whose bytes are added to total.
type meteredConn struct {
	net.Conn
	total    *traffic
	received atomic.Int64 // when bytes were last received, in nanoseconds of the Unix epoch
}

func newMeteredConn(conn net.Conn, total *traffic) *meteredConn {
	m := &meteredConn{Conn: conn, total: total}
	m.received.Store(time.Now().UnixNano())
	return m
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.total.received.Add(int64(n))
		c.received.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) lastReceived() time.Time { return time.Unix(0, c.received.Load()) }
