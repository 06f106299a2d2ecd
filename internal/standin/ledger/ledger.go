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
	Endpoint string
	Request  string
	Stage    string // the stage, or the method and path of a plain call
	Attempt  int
	Account  string
	Key      string // idempotency key, or empty
	Start    time.Time
	End      time.Time     // zero while it runs, and for executions that were cut short
	Busy     time.Duration // time that the endpoint spent
	From     int           // first token generated; zero but for resumed streams
	Tokens   int           // tokens generated; zero for pools and plain services
}

// Ledger is the record that all stand-ins of a run share.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
}

// New returns an empty ledger.
func New() *Ledger { return new(Ledger) }

// Start records an execution and returns a function that records its end.
func (l *Ledger) Start(e Entry) (end func(busy time.Duration, tokens int)) {
	e.Start = time.Now()
	l.mu.Lock()
	i := len(l.entries)
	l.entries = append(l.entries, e)
	l.mu.Unlock()
	return func(busy time.Duration, tokens int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.entries[i].End = time.Now()
		l.entries[i].Busy = busy
		l.entries[i].Tokens = tokens
	}
}

// Entries returns a copy of all executions in the order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}
