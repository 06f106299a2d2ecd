// Package intake decides which callers may hold memory and connections for what they have sent and have not
// been answered. It does no I/O, no locking and reads no clock: callers serialise access and pass the time.
package intake

// This file defines Budget and the room for requests.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smallBytes is what a request may hold to use the spare room: a head and the first part of a body of unknown length.
	smallBytes = 80 << 10
	// StallTime is the time without a byte after which a client makes no progress.
	StallTime     = 2 * time.Second
	spareDivisor  = 4 // part of the limit that is added for small requests
	excessDivisor = 4 // part of the limit that shed clients may hold beside it until they are gone
	marginDivisor = 16
)

// Phase is what a client's connection is used for.
type Phase int

// The phases.
const (
	Idle      Phase = iota // for nothing
	Receiving              // for a head or a body that has not come as a whole
	Running                // for a request that may have run
	Answering              // for an answer that is complete here and is being sent
)

// Verdict is the outcome of taking memory.
type Verdict int

// The verdicts.
const (
	Taken   Verdict = iota
	Later           // when shed clients are gone
	Refused         // for the client that is shed first
)

// Client is one connection.
type Client struct {
	Address string // host without port
	Door    *Door
	Shed    func() // for the owner of the budget; ends what the connection is used for
	phase   Phase
	held    int64
	last    time.Time // a byte came, or the phase began
	began   time.Time // the phase
	shed    bool      // is to be refused or closed
}

// Held returns the bytes that the client holds.
func (c *Client) Held() int64 { return c.held }

// Budget is the memory that requests may take, and the clients that take it.
type Budget struct {
	limit   int64
	held    int64
	shed    int64 // part of held
	clients map[*Client]struct{}
}

// New returns a budget of the given number of bytes without clients.
func New(limit int64) *Budget {
	return &Budget{limit: limit, clients: make(map[*Client]struct{})}
}

// Limit returns the number of bytes that requests may take.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the number of bytes that requests take.
func (b *Budget) Held() int64 { return b.held }

// Begin begins a phase of a client. One that becomes idle holds nothing. It reports false if the client is shed, so
// that its request must not run.
func (b *Budget) Begin(c *Client, p Phase, now time.Time) bool {
	c.phase, c.began, c.last = p, now, now
	if p == Idle {
		b.release(c)
	}
	return !c.shed
}

// Progress records that bytes of a client have come. The first ones begin a request.
func (b *Budget) Progress(c *Client, now time.Time) {
	c.last = now
	if c.phase == Idle {
		c.phase, c.began = Receiving, now
	}
}

// Sent records that bytes of an answer were sent.
func (b *Budget) Sent(c *Client, now time.Time) {
	if c.phase == Answering {
		c.last = now
	}
}

// Reserve takes n more bytes for a client's request. It returns the clients that are to be shed for that. A small request
// gets a spare room besides. Shed are clients that make no progress before those that do, and of these the ones that hold
// most; never one whose request may have run and whose answer is awaited. An answer that is complete is given up only if its
// caller does not read it.
func (b *Budget) Reserve(c *Client, n int64, now time.Time) (shed []*Client, v Verdict) {
	if _, known := b.clients[c]; !known || c.shed {
		return nil, Refused
	}
	limit := b.limit
	if c.held+n <= smallBytes {
		limit += b.limit / spareDivisor
	}
	c.held, b.held = c.held+n, b.held+n
	if b.fits(limit) {
		return nil, Taken
	}
	for _, v := range b.candidates(now) {
		if v == c {
			break
		}
		b.markShed(v)
		shed = append(shed, v)
		if b.held-b.shed <= limit-limit/marginDivisor {
			break
		}
	}
	if b.fits(limit) {
		return shed, Taken
	}
	v = Refused
	if b.held-b.shed <= limit {
		v = Later
	}
	c.held, b.held = c.held-n, b.held-n
	return shed, v
}

// fits reports whether what clients hold is within a limit, without those that are shed, and with them within
// a greater one.
func (b *Budget) fits(limit int64) bool {
	return b.held-b.shed <= limit && b.held <= limit+b.limit/excessDivisor
}

// candidates returns the clients that may be shed for their memory, those that are shed first at the start.
func (b *Budget) candidates(now time.Time) []*Client {
	var list []*Client
	for c := range b.clients {
		if !c.shed && (c.phase == Receiving || c.phase == Answering && c.stalled(now)) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *Client) int {
		if xs, ys := x.stalled(now), y.stalled(now); xs != ys {
			if xs {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.held, x.held)
	})
	return list
}

func (c *Client) stalled(now time.Time) bool { return now.Sub(c.last) >= StallTime }

func (b *Budget) markShed(c *Client) {
	c.shed = true
	c.Door.shed++
	b.shed += c.held
}

// release frees what a client holds.
func (b *Budget) release(c *Client) {
	b.held -= c.held
	if c.shed {
		b.shed -= c.held
	}
	c.held = 0
}
