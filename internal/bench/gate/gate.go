// Package gate provides a TCP proxy that tests put between two processes to
// inject network faults: closed connections, refused connections, held traffic
// and delay. Each proxy listens on loopback and forwards to one address.
package gate

// This file defines Gate.

import (
	"io"
	"net"
	"sync"
	"time"
)

// Gate forwards the connections of one listener to one target address. Its
// methods are safe for concurrent use.
type Gate struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	isCut  bool
	frozen chan struct{} // closed while traffic in both directions may flow
	silent chan struct{} // closed while traffic from the target may flow
	delay  time.Duration // added before each write
	closed bool
}

// New starts a proxy on loopback that forwards to target. The returned function
// closes its listener and its connections.
func New(target string) (*Gate, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	open := make(chan struct{})
	close(open)
	g := &Gate{target: target, listener: l, conns: make(map[net.Conn]struct{}), frozen: open, silent: open}
	go g.accept()
	return g, g.close, nil
}

// Address returns the address that the proxy listens on.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Target returns the address that connections are forwarded to.
func (g *Gate) Target() string { return g.target }

// Cut closes all connections, and closes new ones at once until Heal is called.
func (g *Gate) Cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = true
	g.closeConns()
}

// Heal ends the effect of Cut: new connections are forwarded again.
func (g *Gate) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = false
}

// Freeze holds back all traffic, without closing connections, until the returned
// function is called.
func (g *Gate) Freeze() (thaw func()) {
	held := make(chan struct{})
	g.mu.Lock()
	g.frozen = held
	g.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// Silence holds back the traffic from the target until the returned function is
// called. Traffic to the target still flows, so that requests arrive but their
// responses do not.
func (g *Gate) Silence() (heal func()) {
	held := make(chan struct{})
	g.mu.Lock()
	g.silent = held
	g.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// Delay delays each write, in both directions, by d.
func (g *Gate) Delay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// Kick closes all connections that are open now. New ones are forwarded.
func (g *Gate) Kick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeConns()
}

func (g *Gate) closeConns() {
	for c := range g.conns {
		c.Close()
	}
	clear(g.conns)
}

func (g *Gate) close() {
	g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.closeConns()
}

func (g *Gate) accept() {
	for {
		in, err := g.listener.Accept()
		if err != nil {
			return
		}
		if !g.track(in) {
			in.Close()
			continue
		}
		go g.relay(in)
	}
}

func (g *Gate) track(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isCut || g.closed {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

const dialTimeout = time.Second

func (g *Gate) relay(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", g.target, dialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	if !g.track(out) {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		io.Copy(heldWriter{gate: g, to: to, fromTarget: to == in}, from)
		to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go forward(out, in)
	go forward(in, out)
	<-done
	<-done
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, in)
	delete(g.conns, out)
}

// heldWriter writes to a connection once the faults set on the gate allow it.
type heldWriter struct {
	gate       *Gate
	to         net.Conn
	fromTarget bool // reports whether the traffic comes from the target
}

// Write waits until traffic in this direction may flow, and for the set delay.
func (h heldWriter) Write(data []byte) (int, error) {
	h.gate.mu.Lock()
	frozen, silent, delay := h.gate.frozen, h.gate.silent, h.gate.delay
	h.gate.mu.Unlock()
	<-frozen
	if h.fromTarget {
		<-silent
	}
	time.Sleep(delay)
	return h.to.Write(data)
}
