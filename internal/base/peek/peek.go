// Package peek looks at what has arrived on a connection, or at a listener, without taking it.
package peek

// This file defines State, Conn and Queue.

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State says what has arrived on a connection and was not read.
type State int

// The states.
const (
	Quiet   State = iota // nothing
	Unread               // bytes
	Ended                // its end, or an error
	Unknown              // the connection can't be looked at
)

var stateNames = [...]string{Quiet: "quiet", Unread: "unread", Ended: "ended", Unknown: "unknown"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Conn returns what has arrived on a connection, below any encryption, without waiting.
func Conn(c net.Conn) State {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	if err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Unread
		}
	}); err != nil {
		return Ended
	}
	return state
}

// Queue returns the number of connections that a listener has not accepted, or zero where the system
// does not tell.
func Queue(l net.Listener) int {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // of a listener, its queue
		}
	}); err != nil {
		return 0
	}
	return n
}
