package keepalive_test

// This file tests the socket options of dialed and accepted connections.

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/base/keepalive"
)

// option returns a TCP socket option of a connection, in the unit of the kernel.
func option(g *WithT, c net.Conn, name int) int {
	raw, err := c.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	value := 0
	g.Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
	return value
}

// TestBothEndsDetectDeadPeerWithinSeconds checks that both ends of a connection detect
// within 5 s that the other one no longer responds, idle or with unacknowledged
// data.
func TestBothEndsDetectDeadPeerWithinSeconds(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	dialed, err := keepalive.NewDialer(time.Second).Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer dialed.Close()
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer accepted.Close()
	g.Expect(keepalive.Configure(accepted)).To(Succeed())
	for _, c := range []net.Conn{dialed, accepted} {
		g.Expect(option(g, c, unix.TCP_USER_TIMEOUT)).To(BeNumerically("~", 2500, 500), "ms")
		idle, every, count := option(g, c, unix.TCP_KEEPIDLE), option(g, c, unix.TCP_KEEPINTVL), option(g, c, unix.TCP_KEEPCNT)
		g.Expect(idle+every*count).To(BeNumerically("<=", 5), "s")
	}
}

// TestOtherConnectionsAreLeftAlone checks that a connection that is not TCP is no
// error.
func TestOtherConnectionsAreLeftAlone(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	NewWithT(t).Expect(keepalive.Configure(a)).To(Succeed())
}
