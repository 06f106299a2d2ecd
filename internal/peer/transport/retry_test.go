package transport

// This file tests which failed attempts to connect are repeated.

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestConnectRetriesOnlyAttemptsThatTimedOut guards against a busy loop: for a
// peer that has not responded for long, the kernel may report a time-out at once.
// Repeating such attempts until the dial timeout kept the processor busy for a
// whole second.
func TestConnectRetriesOnlyAttemptsThatTimedOut(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"time-out reported by the kernel", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, 1},
		{"refused", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, 1},
		{"attempt timed out (context)", &net.OpError{Op: "dial", Err: context.DeadlineExceeded}, 3},
		{"attempt timed out (poller)", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, 3},
	} {
		attempts := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := connect(ctx, func(context.Context, string, string) (net.Conn, error) {
			if attempts++; attempts == 3 {
				cancel()
			}
			return nil, c.err
		}, "a:1")
		cancel()
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred(), c.name)
		g.Expect(attempts).To(Equal(c.want), c.name)
	}
}

// lateContext is a context whose deadline has passed and whose timer has not run.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestConnectEndsAtTheDeadline guards against a busy loop while the timer that ends the context waits for the
// processor: each attempt then fails at once.
func TestConnectEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempts := 0
	_, err := connect(lateContext{ctx}, func(context.Context, string, string) (net.Conn, error) {
		if attempts++; attempts == 100 {
			cancel()
		}
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}, "a:1")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(attempts).To(Equal(1))
}
