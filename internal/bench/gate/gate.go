// Package gate provides a TCP relay between two processes of a test, whose
// traffic can be frozen or cut.
package gate

// This file defines Gate.

import (
	"io"
	"net"
	"sync"
	"time"
)

// Gate relays the connections of one listener to one target.
type Gate struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	isCut  bool
	frozen chan struct{} // closed when traffic may flow
	silent chan struct{} // closed when traffic from the target may flow
	delay  time.Duration // of each piece of traffic
	closed bool
}

// New opens a gate on loopback before a target. The returned function closes it.
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

// Address returns the address to connect to.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Target returns the address that connections are relayed to.
func (g *Gate) Target() string { return g.target }

// Cut closes all connections and refuses new ones until Heal.
func (g *Gate) Cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = true
	g.drop()
}

// Heal lets connections through again.
func (g *Gate) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = false
}

// Freeze holds all traffic back until the returned function is called.
func (g *Gate) Freeze() (thaw func()) {
	held := make(chan struct{})
	g.mu.Lock()
	g.frozen = held
	g.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// Silence holds back the traffic from the target, and not that to it, until the
// returned function is called.
func (g *Gate) Silence() (heal func()) {
	held := make(chan struct{})
	g.mu.Lock()
	g.silent = held
	g.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// Delay holds each piece of traffic back for a time.
func (g *Gate) Delay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// Kick closes all connections once; new ones pass.
func (g *Gate) Kick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop()
}

func (g *Gate) drop() {
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
	g.drop()
}

func (g *Gate) accept() {
	for {
		in, err := g.listener.Accept()
		if err != nil {
			return
		}
		if !g.keep(in) {
			in.Close()
			continue
		}
		go g.relay(in)
	}
}

func (g *Gate) keep(c net.Conn) bool {
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
	if !g.keep(out) {
		return
	}
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		io.Copy(held{gate: g, to: to, back: to == in}, from)
		to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go pass(out, in)
	go pass(in, out)
	<-done
	<-done
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, in)
	delete(g.conns, out)
}

// held writes when the gate is not frozen.
type held struct {
	gate *Gate
	to   net.Conn
	back bool // whether the traffic comes from the target
}

// Write waits until traffic flows.
func (h held) Write(data []byte) (int, error) {
	h.gate.mu.Lock()
	frozen, silent, delay := h.gate.frozen, h.gate.silent, h.gate.delay
	h.gate.mu.Unlock()
	<-frozen
	if h.back {
		<-silent
	}
	time.Sleep(delay)
	return h.to.Write(data)
}
