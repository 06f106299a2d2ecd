// Package faultproxy provides a TCP proxy that tests put between two processes to
// inject network faults: closed connections, refused connections, held traffic
// and delay. Each proxy listens on loopback and forwards to one address.
package faultproxy

// This file defines Proxy.

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards the connections of one listener to one target address. Its
// methods are safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	isCut    bool
	flow     chan struct{} // closed while traffic in both directions may flow
	backFlow chan struct{} // closed while traffic from the target may flow
	delay    time.Duration // added before each write
	closed   bool
}

// New starts a proxy on loopback that forwards to target. The returned function
// closes its listener and its connections.
func New(target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	open := make(chan struct{})
	close(open)
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]struct{}), flow: open, backFlow: open}
	go p.accept()
	return p, p.close, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Target returns the address that connections are forwarded to.
func (p *Proxy) Target() string { return p.target }

// Cut closes all connections, and closes new ones at once until Heal is called.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	p.closeConnsLocked()
}

// Heal ends the effect of Cut: new connections are forwarded again.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

// Freeze holds back all traffic, without closing connections, until the returned
// function is called.
func (p *Proxy) Freeze() (thaw func()) {
	held := make(chan struct{})
	p.mu.Lock()
	p.flow = held
	p.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// HoldResponses holds back the traffic from the target until the returned function is
// called. Traffic to the target still flows, so that requests arrive but their
// responses do not.
func (p *Proxy) HoldResponses() (heal func()) {
	held := make(chan struct{})
	p.mu.Lock()
	p.backFlow = held
	p.mu.Unlock()
	return sync.OnceFunc(func() { close(held) })
}

// Delay delays each write, in both directions, by d.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// CloseConns closes all connections that are open now. New ones are forwarded.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnsLocked()
}

// closeConnsLocked closes all connections. The lock must be held.
func (p *Proxy) closeConnsLocked() {
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeConnsLocked()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.track(in) {
			in.Close()
			continue
		}
		go p.relay(in)
	}
}

// track adds an open connection. It reports false if the proxy takes none now.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut || p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

const dialTimeout = time.Second

// relay forwards the traffic of a connection in both directions until both have
// ended.
func (p *Proxy) relay(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	if !p.track(out) {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		io.Copy(heldWriter{proxy: p, to: to, fromTarget: to == in}, from)
		to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go forward(out, in)
	go forward(in, out)
	<-done
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// heldWriter writes to a connection once the faults set on the proxy allow it.
type heldWriter struct {
	proxy      *Proxy
	to         net.Conn
	fromTarget bool // reports whether the traffic comes from the target
}

// Write waits until traffic in this direction may flow, and for the set delay.
func (h heldWriter) Write(data []byte) (int, error) {
	h.proxy.mu.Lock()
	flow, backFlow, delay := h.proxy.flow, h.proxy.backFlow, h.proxy.delay
	h.proxy.mu.Unlock()
	<-flow
	if h.fromTarget {
		<-backFlow
	}
	time.Sleep(delay)
	return h.to.Write(data)
}
