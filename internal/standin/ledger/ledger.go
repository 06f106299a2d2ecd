// Package ledger counts what the stand-ins really executed. The promises to
// callers are checked against it, never against what a client believes.
package ledger

// This file defines Ledger and Entry.

import (
	"slices"
	"sync"
	"time"
)

// Entry is one execution at an endpoint.
type Entry struct {
	Endpoint  string
	Request   string
	Stage     string // the stage, or the method and path of a plain call
	Attempt   int    // zero for plain calls
	Key       string // idempotency key, or empty
	Body      string // body of a plain call
	Arrival   time.Time
	Start     time.Time
	End       time.Time     // zero while it runs
	Busy      time.Duration // time that the endpoint spent
	From      int           // first token generated; above zero for resumed streams
	Tokens    int           // tokens generated; zero for pools and plain services
	Cached    int           // prompt tokens found in the prefix cache
	Imported  bool          // an exported KV cache saved the prompt's time
	Cancelled bool          // it was ended before it was whole
}

// Cancel is one order to end a call, whether the call ran or not.
type Cancel struct {
	Endpoint string
	Request  string
	Stage    string
	Attempt  int
	At       time.Time
}

// Ledger is the record that all stand-ins of a run share.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	cancels []Cancel
}

// New returns an empty ledger.
func New() *Ledger { return new(Ledger) }

// Start records an execution that starts now. The returned function records its
// end, with what the given function sets.
func (l *Ledger) Start(e Entry) (end func(set func(*Entry))) {
	e.Start = time.Now()
	if e.Arrival.IsZero() {
		e.Arrival = e.Start
	}
	l.mu.Lock()
	i := len(l.entries)
	l.entries = append(l.entries, e)
	l.mu.Unlock()
	return func(set func(*Entry)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.entries[i].End = time.Now()
		l.entries[i].Busy = l.entries[i].End.Sub(l.entries[i].Start)
		if set != nil {
			set(&l.entries[i])
		}
	}
}

// Cancel records an order to end a call.
func (l *Ledger) Cancel(c Cancel) {
	c.At = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels = append(l.cancels, c)
}

// Entries returns a copy of all executions in the order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// Cancels returns a copy of all orders to end a call.
func (l *Ledger) Cancels() []Cancel {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.cancels)
}
