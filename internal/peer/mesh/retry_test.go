package mesh

// This file tests which failed tries to connect are repeated.

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestOnlyTriesThatTookTheirTimeAreRepeated has the kernel report at once that
// a peer which was silent for long timed out. Repeating that took a whole second
// of the processor, in which nothing else was done.
func TestOnlyTriesThatTookTheirTimeAreRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"reported by the kernel", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, 1},
		{"refused", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, 1},
		{"no answer in time", &net.OpError{Op: "dial", Err: context.DeadlineExceeded}, 3},
		{"no answer in time, as the poller tells it", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, 3},
	} {
		tries := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := connect(ctx, func(context.Context, string, string) (net.Conn, error) {
			if tries++; tries == 3 {
				cancel()
			}
			return nil, c.err
		}, "a:1")
		cancel()
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred(), c.name)
		g.Expect(tries).To(Equal(c.want), c.name)
	}
}
