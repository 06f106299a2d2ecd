// Package stall ends calls whose answer does not progress. A limit on the time of a whole
// call would also end a large transfer over a slow link, which is then begun again for ever.
package stall

// This file defines Guard.

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// ErrStalled is the cause of the end of a context whose transfer did not progress.
var ErrStalled = errors.New("no progress within the time limit")

// Guard ends a context unless a transfer progresses: it must begin within one time, and
// then bring a minimum number of bytes in each window until its end.
type Guard struct {
	window   time.Duration
	minBytes int
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	begun bool // Reader was called
	timer *time.Timer
	bytes int // since the timer was set
}

// New returns a child of ctx that ends with ErrStalled as its cause if Reader is
// not called within begin, or the transfer brings less than minBytes within a window after
// that. The clean-up function
// must be called when the transfer is over.
func New(ctx context.Context, begin, window time.Duration, minBytes int) (context.Context, *Guard, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{window: window, minBytes: minBytes, cancel: cancel}
	g.timer = time.AfterFunc(begin, func() { cancel(ErrStalled) })
	return ctx, g, func() {
		g.timer.Stop()
		cancel(context.Canceled)
	}
}

// Reader returns a reader of the transfer that r reads. The first window begins at once.
func (g *Guard) Reader(r io.Reader) io.Reader {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = true
	g.restart()
	return &reader{guard: g, from: r}
}

// Abandon ends the context with the given cause, unless the transfer has begun.
func (g *Guard) Abandon(cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun {
		g.cancel(cause)
	}
}

// restart begins a new window, unless the time of the last one is over. The caller holds the lock.
func (g *Guard) restart() {
	if g.timer.Stop() {
		g.timer.Reset(g.window)
	}
	g.bytes = 0
}

func (g *Guard) record(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bytes += n; g.bytes >= g.minBytes {
		g.restart()
	}
}

type reader struct {
	guard *Guard
	from  io.Reader
}

var _ io.Reader = (*reader)(nil)

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.guard.record(n)
	return n, err
}
