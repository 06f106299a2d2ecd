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

// kernelTimes holds the options of a connection that decide when the kernel gives it up.
type kernelTimes struct{ idle, every, user time.Duration }

// givesUp returns the time after the last packet at which the kernel closes a connection whose
// other end is silent from then until back; zero if it does not. With a user timeout, an unanswered
// probe closes the connection once that time has passed, whatever the number of probes.
func (k kernelTimes) givesUp(silentFrom, back time.Duration) time.Duration {
	for probe := k.idle; ; probe += k.every {
		if probe > k.idle && probe >= k.user {
			return probe
		}
		if probe < silentFrom || probe >= back {
			return 0 // the probe is answered
		}
	}
}

// TestBothEndsDetectDeadPeerWithinSeconds checks that both ends of a connection detect
// within 5 s that the other one no longer responds, idle or with unacknowledged
// data, and that neither gives up a sound one that is silent for up to 1.9 s at any moment: a
// quiet stream would be lost.
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
		k := kernelTimes{
			idle:  time.Duration(option(g, c, unix.TCP_KEEPIDLE)) * time.Second,
			every: time.Duration(option(g, c, unix.TCP_KEEPINTVL)) * time.Second,
			user:  time.Duration(option(g, c, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		}
		g.Expect(k.user).To(BeNumerically("<=", 3500*time.Millisecond), "for unacknowledged data")
		g.Expect(k.givesUp(0, time.Hour)).To(And(BeNumerically(">", 0), BeNumerically("<=", 5*time.Second)))
		for from := time.Duration(0); from < k.idle; from += 10 * time.Millisecond {
			g.Expect(k.givesUp(from, from+1900*time.Millisecond)).To(BeZero(), "silent from %s on", from)
		}
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
