// Package connpool provides a pool of HTTP/1.1 connections to endpoints.
//
// Unlike net/http.Transport, it never resends a request on its own: each Send
// writes the request to at most one connection, and the error says whether any
// byte was written. Callers need that to decide whether a request that must not
// run twice may be retried.
//
// A response belongs to a send. Endpoints may send a second copy of a response
// when the connection carries the next request, and responses name the request
// but not the send, so a connection never carries two requests with the same id.
package connpool

// This file defines Pool.

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/keepalive"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Timeouts and limits of connections.
const (
	dialTimeout         = time.Second            // enough for an endpoint in the same region
	defaultIdleTimeout  = 8 * time.Second        // used when the response has no Keep-Alive timeout
	idleTimeoutMargin   = 700 * time.Millisecond // subtracted from the endpoint's Keep-Alive timeout, so that it does not close a connection just as it is reused
	putsPerSweep        = 64                     // returned connections between two sweeps for expired ones
	maxForeignResponses = 2                      // responses to other requests that are skipped on one connection
	maxForeignBytes     = 1 << 20                // of the body of such a response
	maxHeadBytes        = 64 << 10               // of the status line and headers of a response
	readBufferBytes     = 4 << 10                // fits a typical event or the headers of a response
	maxIDsPerConn       = 512                    // ids of requests and responses that one connection carries; the hash of an id takes 8 bytes
	maxInlineBodyBytes  = 16 << 10               // larger bodies are written while the response is read, since an endpoint may respond before it has read them
)

// Pool holds idle connections, keyed by endpoint name. It does not limit their
// number. It is safe for concurrent use.
type Pool struct {
	mu             sync.Mutex
	idle           map[string][]*conn // most recently used last
	putsSinceSweep int
	conns          uint64 // made so far
	closed         bool
	dial           Dial
	observer       Observer
}

// Observer is told what happens on connections, by endpoint name. Its methods are called
// concurrently.
type Observer interface {
	// Dialed reports the result of connecting, unless the caller ended it.
	Dialed(name string, err error, now time.Time)
	// Started reports a request that is about to be written, and Ended its end.
	Started(name string, now time.Time)
	Ended(name string)
	// Heard reports that bytes of a response have come.
	Heard(name string, now time.Time)
}

// unobserved is an Observer that does nothing.
type unobserved struct{}

var _ Observer = unobserved{}

// Dialed implements Observer.
func (unobserved) Dialed(string, error, time.Time) {}

// Started implements Observer.
func (unobserved) Started(string, time.Time) {}

// Ended implements Observer.
func (unobserved) Ended(string) {}

// Heard implements Observer.
func (unobserved) Heard(string, time.Time) {}

// Dial connects to a TCP address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewDial returns the Dial of endpoints: its connections are closed within seconds when the other end
// no longer responds.
func NewDial() Dial {
	d := keepalive.NewDialer(dialTimeout)
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// New returns an empty pool, which connects by dial and tells an observer, if it is not nil, and a
// function that closes its idle connections. Connections that are in use then are closed when they
// are returned.
func New(dial Dial, o Observer) (*Pool, func()) {
	if o == nil {
		o = unobserved{}
	}
	p := &Pool{idle: make(map[string][]*conn), dial: dial, observer: o}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}

// get returns a connection to the named endpoint for a request whose id has the
// given hash: the most recently used idle connection that is still usable, or
// else a new one. The error is a *failure.Failure of kind Unsent.
func (p *Pool) get(ctx context.Context, name, address string, id uint64) (*conn, error) {
	for {
		c := p.take(name, id)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.connect(ctx, name, address)
	if err != nil {
		return nil, failure.New(failure.Unsent, err, "connecting to %s", address)
	}
	return p.newConn(raw, name), nil
}

// newConn returns a new connection with the next number.
func (p *Pool) newConn(raw net.Conn, name string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns++
	return newConn(raw, name, p.conns)
}

// connect makes a new connection and tells the observer.
func (p *Pool) connect(ctx context.Context, name, address string) (net.Conn, error) {
	raw, err := p.dial(ctx, address)
	if !errors.Is(ctx.Err(), context.Canceled) {
		p.observer.Dialed(name, err, time.Now())
	}
	return raw, err
}

// Probe makes a connection to the named endpoint. It is kept for a later request, unless there are
// idle ones: endpoints limit the connections of all instances together.
func (p *Pool) Probe(ctx context.Context, name, address string) error {
	raw, err := p.connect(ctx, name, address)
	if err != nil {
		return err
	}
	c := p.newConn(raw, name)
	if p.hasIdle(name) {
		c.Close()
		return nil
	}
	c.expiresAt = time.Now().Add(defaultIdleTimeout)
	p.put(c)
	return nil
}

func (p *Pool) hasIdle(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[name]) > 0
}

// take removes and returns the most recently used idle connection to the named
// endpoint that has not carried a request with the given hash of its id, or nil
// if there is none. It may no longer be usable. If all idle connections have
// carried one, the oldest of them is closed to make room for a new connection:
// endpoints limit the connections of all instances together.
func (p *Pool) take(name string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[name]
	for i, c := range slices.Backward(list) {
		if !c.hasCarried(id) {
			p.idle[name] = slices.Delete(list, i, i+1)
			return c
		}
	}
	if len(list) > 0 {
		list[0].Close()
		p.idle[name] = slices.Delete(list, 0, 1)
	}
	return nil
}

// put returns a connection that is ready for another request to the pool.
func (p *Pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle[c.name] = append(p.idle[c.name], c)
	if p.putsSinceSweep++; p.putsSinceSweep >= putsPerSweep {
		p.putsSinceSweep = 0
		p.sweep(time.Now())
	}
}

// sweep closes the connections whose idle timeout has passed. The caller holds
// the lock.
func (p *Pool) sweep(now time.Time) {
	for name, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(list[len(kept):])
		if p.idle[name] = kept; len(kept) == 0 {
			delete(p.idle, name)
		}
	}
}
