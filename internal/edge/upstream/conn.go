package upstream

// This file defines conn, one connection to an endpoint.

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type conn struct {
	net.Conn
	name   string
	br     *bufio.Reader
	reused bool
	until  time.Time // when it is too old to be used again
}

func newConn(raw net.Conn, name string) *conn {
	return &conn{Conn: raw, name: name, br: bufio.NewReaderSize(raw, bufferSize)}
}

// sound reports whether an idle connection can take a request: it is young
// enough, and the endpoint has neither closed it nor sent anything on it.
func (c *conn) sound() bool {
	if !time.Now().Before(c.until) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN || e == unix.EWOULDBLOCK
	}); err != nil {
		return false
	}
	return quiet
}

// keeps reads from an answer how long the connection may stay idle, and
// whether it may be used again at all.
func (c *conn) keeps(h http.Header, now time.Time) bool {
	if hasToken(h.Values("Connection"), "close") {
		return false
	}
	idle := idleMost
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	c.until = now.Add(idle)
	return idle > 0
}

func hasToken(values []string, want string) bool {
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), want) {
				return true
			}
		}
	}
	return false
}
