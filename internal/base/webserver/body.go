package webserver

// This file reads the bodies of requests.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/intake"
	"github.com/jacinthstile/jacinthstile/internal/base/bounded"
	"github.com/jacinthstile/jacinthstile/internal/base/guard"
)

// A body of which fewer than paceBytes come within paceTime, and not its end, is given up.
const (
	paceBytes    = 1 << 10
	paceTime     = 15 * time.Second
	paceInterval = time.Second // between two changes of the limit
)

// ErrNoMemory is the error of requests for which there is no memory. They have not run.
var ErrNoMemory = errors.New("no memory is left for the request")

// ErrNoAnswerMemory is the error of requests that have run and for whose answers there is no memory.
var ErrNoAnswerMemory = errors.New("no memory is left for the answer")

// ReadBody reads the body of a request until a deadline, whether or not bytes come until then. The error is
// ErrNoMemory if others need the memory, wraps os.ErrDeadlineExceeded if the body comes too slowly, and is a
// *http.MaxBytesError if the body is longer than maxBytes.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c != nil && !c.begin(false, true, intake.Receiving) {
		return nil, ErrNoMemory
	}
	body := &pacedBody{Reader: r.Body, conn: c, control: control, deadline: deadline}
	data, err := readUpTo(body, r.ContentLength, maxBytes, func(n int64) error { return Reserve(r.Context(), n) })
	if c != nil {
		c.unread = err != nil || int64(len(data)) > maxBytes
	}
	switch {
	case c != nil && !c.begin(false, false, intake.Running):
		return nil, ErrNoMemory
	case err != nil:
		return nil, err
	case int64(len(data)) > maxBytes:
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	control.SetReadDeadline(time.Time{}) // the server reads on to notice that the caller leaves
	return data, nil
}

// readUpTo reads a body of the given length, or at most maxBytes and one byte more if that is negative.
func readUpTo(r io.Reader, length, maxBytes int64, reserve func(int64) error) ([]byte, error) {
	if length >= 0 {
		return bounded.ReadWithin(r, length, reserve)
	}
	data, err := bounded.ReadWithin(r, maxBytes+1, reserve)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return data, err
}

// Reserve takes n bytes of memory for the request of a context, until that has been answered. The error is ErrNoMemory.
// The whole memory for requests is enough for any one of them.
func Reserve(ctx context.Context, n int64) error {
	if !take(ctx, n, (*guard.Guard).Reserve) {
		return ErrNoMemory
	}
	return nil
}

// ReserveAnswer takes n bytes of memory for the answer to the request of a context, until it has been sent. It waits for
// memory, since the request has run. The error is ErrNoAnswerMemory.
func ReserveAnswer(ctx context.Context, n int64) error {
	if !take(ctx, n, (*guard.Guard).ReserveAnswer) {
		return ErrNoAnswerMemory
	}
	return nil
}

// take takes n bytes for the client of a context's request. It reports true for one that no guard knows.
func take(ctx context.Context, n int64, from func(*guard.Guard, *intake.Client, int64) bool) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || c.server.guard == nil {
		return true
	}
	return from(c.server.guard, &c.client, min(n, c.server.guard.Limit()/2))
}

// BeginAnswer records that the answer to the request of a context is complete and is being sent: if its caller does not
// read it, it may be given up for others.
func BeginAnswer(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*conn); c != nil {
		c.begin(false, false, intake.Answering)
	}
}

// pacedBody is a body with a least pace.
type pacedBody struct {
	io.Reader
	conn     *conn // nil if the server does not know it
	control  *http.ResponseController
	deadline time.Time
	began    time.Time // of the time in which the next bytes are to come
	received int       // since then
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	now := time.Now()
	if b.began.IsZero() || b.received >= paceBytes && now.Sub(b.began) >= paceInterval {
		b.began, b.received = now, 0
		limit := now.Add(paceTime)
		if b.deadline.Before(limit) {
			limit = b.deadline
		}
		b.control.SetReadDeadline(limit) // fails if the connection has none, as in tests
	}
	if b.conn != nil && b.conn.isRefused() {
		return 0, ErrNoMemory
	}
	n, err := b.Reader.Read(p)
	b.received += n
	if errors.Is(err, os.ErrDeadlineExceeded) && b.conn != nil && b.conn.server.guard != nil && time.Now().Before(b.deadline) && !b.conn.isRefused() {
		b.conn.server.guard.Report(guard.Pace, &b.conn.client)
	}
	return n, err
}
