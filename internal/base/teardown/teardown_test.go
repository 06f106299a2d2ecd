package teardown_test

// This file tests connections that end in order and ones that are reset.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/base/teardown"
)

const (
	timeout     = 2 * time.Second
	settled     = 20 * time.Millisecond // after which what was sent on loopback has arrived
	smallBuffer = 8 << 10
	largeBuffer = 512 << 10
)

// connect returns both ends of a connection over loopback, of which the far one takes a few kilobytes until they are read.
func connect(t *testing.T) (near, far *net.TCPConn) {
	g := NewWithT(t)
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	a, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close(); a.Close() })
	near, far = c.(*net.TCPConn), a.(*net.TCPConn)
	g.Expect(near.SetWriteBuffer(largeBuffer)).To(Succeed())
	return near, far
}

// TestConfirm guards against the end of a connection that passes for an orderly one although a reset follows it, and
// against an orderly one that is not told from it at once.
func TestConfirm(t *testing.T) {
	request := bytes.Repeat([]byte("x"), 128<<10) // fits this end's buffer, but not the other's
	readAll := func(far *net.TCPConn) { io.CopyN(io.Discard, far, int64(len(request))) }
	for _, c := range []struct {
		name  string
		end   func(far *net.TCPConn) // returns when the end has been sent
		after func(far *net.TCPConn) // what follows while the end is being confirmed
		want  error                  // nil if it ends in order
	}{
		{name: "closed", end: func(far *net.TCPConn) { readAll(far); far.Close() }},
		{name: "closed in one direction", end: func(far *net.TCPConn) { readAll(far); far.CloseWrite() }},
		{name: "closed, the rest is read later", end: func(far *net.TCPConn) { far.CloseWrite() }, after: readAll},
		{name: "closed, then reset", end: func(far *net.TCPConn) { readAll(far); far.CloseWrite(); far.SetLinger(0); far.Close() }, want: teardown.ErrReset},
		{name: "closed, then reset by what follows", end: func(far *net.TCPConn) { far.CloseWrite() }, after: func(far *net.TCPConn) { far.Close() }, want: teardown.ErrReset},
		{name: "the rest is never read", end: func(far *net.TCPConn) { far.CloseWrite() }, want: teardown.ErrUnacknowledged},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			near, far := connect(t)
			written := make(chan struct{})
			go func() {
				defer close(written)
				near.Write(request)
			}()
			c.end(far)
			<-written
			time.Sleep(settled)
			n, err := near.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(io.EOF))
			g.Expect(n).To(BeZero())
			if c.after != nil {
				time.AfterFunc(settled, func() { c.after(far) })
			}
			start := time.Now()
			err = teardown.Confirm(near, start.Add(timeout))
			g.Expect(errors.Is(err, c.want)).To(BeTrue(), "got %v", err)
			if !errors.Is(c.want, teardown.ErrUnacknowledged) {
				g.Expect(time.Since(start)).To(BeNumerically("<", timeout))
			}
		})
	}
}

// TestUnknownConnections guards against rejecting what can't be looked at.
func TestUnknownConnections(t *testing.T) {
	near, _ := net.Pipe()
	NewWithT(t).Expect(teardown.Confirm(near, time.Now().Add(timeout))).To(Succeed())
}
