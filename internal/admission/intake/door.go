package intake

// This file bounds connections.

import (
	"cmp"
	"slices"
	"time"
)

const (
	settleTime  = time.Second // for which a request that is received is not closed for another connection
	doorDivisor = 4           // part of the limit of a door that connections may stay beside it until they are closed
)

// Door is a listener with a limit of connections.
type Door struct {
	MaxConns int
	conns    int
	shed     int // part of conns
}

// Conns returns the number of open connections.
func (d *Door) Conns() int { return d.conns }

// Open adds a connection of a client. It returns the one that is to be closed for it, if any, and false if the
// new one is to be refused. Idle connections are closed before those on which a request stalls, and these before
// others that are received; never one whose request may have run. If an address has more than half of the
// connections, its own are closed for those of others first.
func (b *Budget) Open(c *Client, now time.Time) (shed *Client, ok bool) {
	d := c.Door
	if d.conns-d.shed >= d.MaxConns {
		shed = b.closable(d, c.Address, now)
		if shed == nil {
			return nil, false
		}
		b.markShed(shed)
	}
	if d.conns > d.MaxConns+d.MaxConns/doorDivisor {
		return shed, false
	}
	c.began, c.last = now, now
	b.clients[c] = struct{}{}
	d.conns++
	return shed, true
}

// Close removes a client. It may be called more than once.
func (b *Budget) Close(c *Client) {
	if _, known := b.clients[c]; !known {
		return
	}
	delete(b.clients, c)
	b.release(c)
	c.Door.conns--
	if c.shed {
		c.Door.shed--
	}
}

// closable returns the connection of a door that is closed first for a new one from the given address, or nil.
func (b *Budget) closable(d *Door, address string, now time.Time) *Client {
	heavy := b.heaviest(d)
	rank := func(c *Client) int {
		r := 2
		switch {
		case c.phase == Idle:
			r = 0
		case c.stalled(now):
			r = 1
		}
		if heavy != address && c.Address != heavy {
			r += 3
		}
		return r
	}
	var list []*Client
	for c := range b.clients {
		if c.Door == d && !c.shed && c.closable(now) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(x, y *Client) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), x.last.Compare(y.last))
	})
}

// closable reports whether a connection may be closed for another one.
func (c *Client) closable(now time.Time) bool {
	switch c.phase {
	case Idle:
		return true
	case Receiving:
		return now.Sub(c.began) >= settleTime
	case Answering:
		return c.stalled(now)
	default:
		return false
	}
}

// heaviest returns the address with more than half of a door's connections, empty if there is none.
func (b *Budget) heaviest(d *Door) string {
	counts := make(map[string]int)
	for c := range b.clients {
		if c.Door == d && !c.shed {
			counts[c.Address]++
			if 2*counts[c.Address] > d.MaxConns {
				return c.Address
			}
		}
	}
	return ""
}
