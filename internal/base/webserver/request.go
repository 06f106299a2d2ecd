package webserver

// This file follows the requests of a connection.

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/intake"
)

// unreadTime is the time in which the rest of a body that a handler has not read may come, so that the connection
// can be kept.
const unreadTime = 5 * time.Second

type connKey struct{}

// withConn keeps the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	known := connOf(c)
	if known != nil && net.Conn(known) != c {
		known.cipher.Store(true)
	}
	return context.WithValue(ctx, connKey{}, known)
}

// connOf returns the connection below encryption, or nil if the server does not know it.
func connOf(c net.Conn) *conn {
	for {
		if known, ok := c.(*conn); ok {
			return known
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// watchState notices that the next bytes of a connection are those of a head.
func watchState(c net.Conn, state http.ConnState) {
	if known := connOf(c); known != nil && state == http.StateIdle {
		known.begin(true, false, intake.Idle)
	}
}

// follow returns a handler whose requests the guard follows. A request that is handled may have run.
func follow(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.unread = r.ContentLength != 0
		if !c.begin(false, false, intake.Running) {
			panic(http.ErrAbortHandler) // the connection is being closed
		}
		defer c.finish()
		h.ServeHTTP(w, r)
	})
}

// finish ends the part of a handler in a request. The request holds its memory until the server has sent the rest of the
// answer, and, before that, has read the rest of the body; if the memory is needed for others, that rest is not awaited.
func (c *conn) finish() {
	if !c.unread {
		c.begin(false, false, intake.Answering)
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(unreadTime))
	if !c.begin(false, true, intake.Receiving) {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}
