package mesh

// This file counts the bytes of connections and notes when a peer was last heard.

import (
	"net"
	"sync/atomic"
	"time"
)

// traffic counts bytes over all sessions of a mesh, TLS included.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// meter is a connection that is counted.
type meter struct {
	net.Conn
	total *traffic
	heard atomic.Int64 // when bytes last came, in nanoseconds of the Unix epoch
}

func newMeter(conn net.Conn, total *traffic) *meter {
	m := &meter{Conn: conn, total: total}
	m.heard.Store(time.Now().UnixNano())
	return m
}

// Read counts what the connection gives.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.total.received.Add(int64(n))
		m.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write counts what the connection takes.
func (m *meter) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.total.sent.Add(int64(n))
	return n, err
}

func (m *meter) lastHeard() time.Time { return time.Unix(0, m.heard.Load()) }
