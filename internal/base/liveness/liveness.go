// Package liveness bounds how long a TCP connection stands whose other end has
// fallen silent: behind a partition, without power or suspended. What such a
// connection has not delivered is dropped with it, and does not arrive once the
// other end is back.
package liveness

// This file defines Dialer and Guard.

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	probeIdle  = 2 * time.Second // of TCP keep-alive
	probeEvery = time.Second     // of TCP keep-alive
	probeCount = 2               // unanswered ones that end a connection
	// unacked is how long sent bytes may stay unacknowledged: three times the
	// kernel's retransmission timeout after two losses on one continent.
	unacked = 2500 * time.Millisecond
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// Dialer returns a dialer of guarded connections.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: probes, Control: func(_, _ string, raw syscall.RawConn) error { return bound(raw) },
	}
}

// Guard guards a connection that was accepted. Connections that are not TCP are
// left as they are.
func Guard(c net.Conn) error {
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
	return bound(raw)
}

func bound(raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
