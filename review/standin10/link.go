//go:build review2

package main

// This file is the link between a daemon and the store, whose open channels may go silent.

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// link passes the channels of a daemon on to the store.
type link struct {
	listener net.Listener
	store    string

	mu       sync.Mutex
	channels []*channel
}

// channel is one open channel.
type channel struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return // it was closed
		}
		far, err := net.Dial("tcp", l.store)
		if err != nil {
			near.Close()
			continue
		}
		c := &channel{near: near, far: far}
		l.mu.Lock()
		l.channels = append(l.channels, c)
		l.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass passes bytes on, and the end of the channel, until it is silent.
func (c *channel) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if !silent {
			_, _ = to.Write(buffer[:n]) // an error shows at the next read
		}
		c.mu.Unlock()
		switch {
		case silent:
			return
		case err != nil:
			to.Close()
			return
		}
	}
}

// silence makes the open channels silent, and returns their number. What the daemon sends on them from then on arrives
// nowhere and is not acknowledged, and neither are its keep-alive probes.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		if dropAll(c.near) == nil { // else the channel has ended
			n++
		}
	}
	return n
}

// dropAll makes a socket of this process take in nothing any more.
func dropAll(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err != nil {
		return err
	}
	return failed
}
