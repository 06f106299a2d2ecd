// Package ledger records the calls that the stand-ins executed and the cancellations
// that they received. Tests check guarantees to callers, such as at most one
// execution, against this record and not against what a client observed.
package ledger

// This file defines Ledger and Entry.

import (
	"slices"
	"sync"
	"time"
)

// Entry is one execution at an endpoint. Its field names are the keys of the JSON
// that the stand-in commands serve at /ledger.
type Entry struct {
	Endpoint  string
	Request   string
	Stage     string // name of the stage, or method and path of a call to a plain service
	Attempt   int    // zero for calls to plain services
	Key       string // idempotency key; empty if the call had none
	Body      string // body of a call to a plain service
	Arrival   time.Time
	Start     time.Time
	End       time.Time     // zero while the call runs
	Busy      time.Duration // execution time, without the wait for a slot
	From      int           // index of the first generated token; above zero for resumed streams
	Tokens    int           // generated tokens; zero for pools and plain services
	Cached    int           // prompt tokens found in the prefix cache
	Imported  bool          // whether an imported KV cache replaced the prefill
	Cancelled bool          // whether the call ended before it was complete
}

// Cancel is one request to cancel a call, whether or not the call was running.
type Cancel struct {
	Endpoint string
	Request  string
	Stage    string
	Attempt  int
	At       time.Time
}

// Ledger is the record that all stand-ins of a run share. It is safe for concurrent
// use.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	cancels []Cancel
}

// New returns an empty ledger.
func New() *Ledger { return new(Ledger) }

// Start records an execution that starts now. The returned function records its
// end; if set is not nil, it is called to fill in further fields of the entry.
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

// Cancel records a request to cancel a call. It sets c.At.
func (l *Ledger) Cancel(c Cancel) {
	c.At = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels = append(l.cancels, c)
}

// Entries returns a copy of all executions, in order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// Cancels returns a copy of all requests to cancel a call, in order of arrival.
func (l *Ledger) Cancels() []Cancel {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.cancels)
}
