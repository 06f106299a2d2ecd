// Package keepalive configures TCP connections such that the kernel closes them
// within seconds when the other end no longer responds, because of a network
// partition, a power failure or suspension. Data that such a connection has not
// delivered is discarded with it, so it does not arrive late when the other end
// responds again.
package keepalive

// This file defines NewDialer and Configure.

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection without traffic is closed after 4 s: TCP keep-alive probes start
	// after 1 s, and the first one that is due after unackedTimeout and follows an unanswered one
	// closes the connection. With that timeout set the kernel ignores the count of probes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// unackedTimeout is the time after which unacknowledged data closes a connection. It leaves a
	// sound endpoint that is silent for up to 2 s, at any moment, the time to answer a probe.
	unackedTimeout = 3200 * time.Millisecond
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// NewDialer returns a dialer whose connections are configured in this way. The
// timeout limits the time to connect.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: probes, Control: func(_, _ string, raw syscall.RawConn) error { return limitUnacked(raw) },
	}
}

// Configure configures an accepted connection. It does nothing to connections that are
// not TCP.
func Configure(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetKeepAliveConfig(probes); err != nil {
		return fmt.Errorf("setting keep-alive probes: %w", err)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("bounding unacknowledged bytes: %w", err)
	}
	return limitUnacked(raw)
}

// limitUnacked sets the timeout for unacknowledged data on a socket.
func limitUnacked(raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
