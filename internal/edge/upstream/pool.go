// Package upstream keeps HTTP connections to endpoints and sends requests on
// them. It never repeats a request by itself: each Send reaches the wire at
// most once, and its failure says whether any byte left.
package upstream

// This file defines Pool.

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/liveness"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Limits of connections.
const (
	dialTimeout  = time.Second            // to an endpoint in the same region
	idleMost     = 8 * time.Second        // that an idle connection is kept where its endpoint names no time
	idleMargin   = 700 * time.Millisecond // before the time that the endpoint names
	sweepAfter   = 64                     // connections given back between two sweeps
	mostStray    = 2                      // stray answers passed over on one connection
	bufferSize   = 4 << 10                // bytes; an event or the headers of an answer fit
	inlineUpload = 16 << 10               // bytes of a body that are written before the answer is read
)

// Pool holds idle connections by the name of their endpoint. It is safe for
// concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn // the newest last
	given  int
	closed bool
	dials  func(context.Context, string) (net.Conn, error)
}

// New returns an empty pool and a function that closes its idle connections.
func New() (*Pool, func()) {
	d := liveness.Dialer(dialTimeout)
	p := &Pool{idle: make(map[string][]*conn), dials: func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}}
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

// get returns a connection to an endpoint, an idle one if it is still sound.
func (p *Pool) get(ctx context.Context, name, address string) (*conn, error) {
	for {
		c := p.take(name)
		if c == nil {
			break
		}
		if c.sound() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dials(ctx, address)
	if err != nil {
		return nil, failure.New(failure.Unsent, err, "connecting to %s", address)
	}
	return newConn(raw, name), nil
}

func (p *Pool) take(name string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[name]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[name] = list[:len(list)-1]
	return c
}

// put gives a connection back that is ready for another request.
func (p *Pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle[c.name] = append(p.idle[c.name], c)
	if p.given++; p.given >= sweepAfter {
		p.given = 0
		p.sweep(time.Now())
	}
}

// sweep closes the connections that were idle for too long.
func (p *Pool) sweep(now time.Time) {
	for name, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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
