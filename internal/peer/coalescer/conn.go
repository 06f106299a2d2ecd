// Package coalescer provides a connection that sends small writes together. A multiplexed session
// writes several short frames for each message; on a busy instance with many sessions the system
// calls for them cost more than the messages.
package coalescer

// This file defines Conn.

import (
	"net"
	"sync"
	"time"
)

const (
	maxBuffered = 256 << 10 // bytes; a write that finds as many waiting blocks until they are sent
	maxKept     = 4 << 10   // bytes of a buffer that is kept for later writes
	// closeTimeout is how long Close waits for the peer to take what was written before.
	closeTimeout = 100 * time.Millisecond
)

// Conn is a connection whose writes are sent in the background, together with those that follow
// before they are sent. An error of sending is returned by later writes.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond // signalled on each change of the fields below
	pending []byte
	sending bool
	closed  bool
	err     error // of sending
}

var _ net.Conn = (*Conn)(nil)

// New returns a connection that sends over conn. Close ends it.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	go c.run()
	return c
}

// Write queues bytes to be sent.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxBuffered && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case c.closed:
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// Close sends what was written, for closeTimeout at most, and closes the connection.
func (c *Conn) Close() error {
	timer := time.AfterFunc(closeTimeout, func() { c.Conn.Close() })
	defer timer.Stop()
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	for c.err == nil && (c.sending || len(c.pending) > 0) {
		c.changed.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// run sends what is pending until the connection is closed or sending fails.
func (c *Conn) run() {
	var sent []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.pending) == 0 && !c.closed {
			c.changed.Wait()
		}
		if len(c.pending) == 0 {
			return
		}
		batch := c.pending
		c.pending, c.sending = sent[:0], true
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		sent, c.sending = nil, false
		if cap(batch) <= maxKept {
			sent = batch
		}
		c.err = err
		c.changed.Broadcast()
		if err != nil {
			return
		}
	}
}
