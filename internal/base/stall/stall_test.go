package stall_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/stall"
)

// transfer brings size bytes each interval, times times, and then ends, or stays silent
// until its context ends.
type transfer struct {
	ctx      context.Context
	size     int
	interval time.Duration
	times    int
	silent   bool // at the end
}

func (t *transfer) Read(p []byte) (int, error) {
	if t.times == 0 {
		if !t.silent {
			return 0, io.EOF
		}
		<-t.ctx.Done()
		return 0, t.ctx.Err()
	}
	t.times--
	select {
	case <-time.After(t.interval):
		return min(t.size, len(p)), nil
	case <-t.ctx.Done():
		return 0, t.ctx.Err()
	}
}

// TestGuard guards against ending a slow transfer that progresses, and against waiting for
// one that does not, or that brings a byte now and then.
func TestGuard(t *testing.T) {
	const begin, window, minBytes = 2 * time.Second, time.Second, 1000
	for _, c := range []struct {
		name     string
		head     time.Duration // until the transfer begins
		transfer transfer
		stalled  bool
		after    time.Duration
	}{
		{"large and slow", time.Second, transfer{size: 500, interval: 400 * time.Millisecond, times: 100}, false, 41 * time.Second},
		{"no begin", 3 * time.Second, transfer{}, true, 2 * time.Second},
		{"silent from its begin", time.Second, transfer{silent: true}, true, 2 * time.Second},
		{"silent in the middle", 0, transfer{size: 1000, interval: 100 * time.Millisecond, times: 30, silent: true}, true, 4 * time.Second},
		{"a byte now and then", 0, transfer{size: 1, interval: 100 * time.Millisecond, times: 1000}, true, time.Second},
		{"short", 0, transfer{size: 10, interval: 100 * time.Millisecond, times: 1}, false, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				start := time.Now()
				ctx, guard, done := stall.New(t.Context(), begin, window, minBytes)
				defer done()
				select {
				case <-time.After(c.head):
					c.transfer.ctx = ctx
					_, err := io.Copy(io.Discard, guard.Reader(&c.transfer))
					g.Expect(err != nil).To(Equal(c.stalled), "got error %v", err)
				case <-ctx.Done():
				}
				g.Expect(time.Since(start)).To(Equal(c.after))
				if c.stalled {
					g.Expect(context.Cause(ctx)).To(MatchError(stall.ErrStalled))
				} else {
					g.Expect(ctx.Err()).NotTo(HaveOccurred())
				}
			})
		})
	}
}

// TestGuardEndsWithParent guards against a transfer that goes on after its caller has gone.
func TestGuardEndsWithParent(t *testing.T) {
	g := NewWithT(t)
	parent, cancel := context.WithCancel(t.Context())
	ctx, _, done := stall.New(parent, time.Hour, time.Hour, 1)
	defer done()
	cancel()
	<-ctx.Done()
	g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
}
