// Package teardown tells whether a TCP connection that the other end has closed was closed in order.
//
// The end of the stream may be read before a reset that follows it has arrived, and from then on the system
// reports the end to every read, whether or not the connection is reset.
package teardown

// This file defines Confirm.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a connection in the system's TCP_INFO.
const (
	stateClosed    = 7
	stateCloseWait = 8 // the other end has closed its direction
)

// resetDelay is how long a reset may take that the other end sends right after its end. None comes once this side has
// closed its direction too.
const resetDelay = 2 * time.Millisecond

// Errors of a connection that was not closed in order.
var (
	ErrReset          = errors.New("the connection was reset after its end")
	ErrUnacknowledged = errors.New("not all that was sent is acknowledged")
)

// halfCloser is a connection of which one direction can be closed, such as *net.TCPConn.
type halfCloser interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// Confirm closes the sending direction of a connection whose end has been read, and waits until the other end has
// acknowledged everything up to there. It returns nil then, and also where the system doesn't tell the state of a
// connection or where c isn't a TCP connection. The error is ErrReset if the connection was reset, and ErrUnacknowledged
// at the deadline. The connection can only be closed afterwards.
func Confirm(c net.Conn, deadline time.Time) error {
	conn, ok := c.(halfCloser)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("confirming the end of a connection: %w", err)
	}
	if err := confirm(conn, raw, deadline); err != nil {
		return fmt.Errorf("confirming the end of a connection: %w", err)
	}
	return nil
}

func confirm(c halfCloser, raw syscall.RawConn, deadline time.Time) error {
	var state uint8
	if err := raw.Control(func(fd uintptr) { state = stateOf(fd) }); err != nil {
		return err
	}
	if state != stateCloseWait && state != stateClosed {
		return nil
	}
	switch err := awaitClosed(c, raw, time.Now().Add(resetDelay)); {
	case err == nil: // its error was reported to a write
		return ErrReset
	case !errors.Is(err, ErrUnacknowledged):
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return fmt.Errorf("%w: %w", ErrReset, err)
	}
	return awaitClosed(c, raw, deadline)
}

// awaitClosed waits until a connection whose end has been read is closed in both directions, and returns its error.
func awaitClosed(c net.Conn, raw syscall.RawConn, deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	var failure error
	err := raw.Read(func(fd uintptr) bool {
		if stateOf(fd) != stateClosed {
			return false
		}
		failure = pendingError(fd)
		return true
	})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrUnacknowledged
	case err != nil:
		return err
	}
	return failure
}

// pendingError takes the error of a connection that no call has been told yet.
func pendingError(fd uintptr) error {
	n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	switch e := unix.Errno(n); e {
	case 0:
		return nil
	case unix.EPIPE, unix.ECONNRESET: // before and after this side closed its direction
		return ErrReset
	default:
		return e
	}
}

// stateOf returns the state of a connection, or zero where the system doesn't tell it.
func stateOf(fd uintptr) uint8 {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.State
}
