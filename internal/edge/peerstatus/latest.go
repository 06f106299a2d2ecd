// Package peerstatus holds the latest report of another instance about the store,
// so that not every instance has to read the store itself. A report says which
// revision of the store was the newest at which time. An instance that knows all
// changes up to that revision was up to date at that time. The package does no
// I/O.
package peerstatus

// This file defines Latest and Report.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// Report is a report of another instance about the store.
type Report struct {
	Revision uint64 // newest revision of the store at the time ConfirmedAt
	// ConfirmedAt is a time of this instance's boot clock: the time at which the
	// other instance was asked, less the age that it gave for its confirmation.
	ConfirmedAt time.Duration
	// Changes lists all changes from revision After to Revision if Complete is true.
	Changes  []change.Change
	After    uint64
	Complete bool
}

// Latest holds the latest report. It is safe for concurrent use.
type Latest struct {
	mu      sync.Mutex
	report  Report
	known   bool          // whether there is a report
	updates chan struct{} // buffers one element
}

// New returns a Latest without a report.
func New() *Latest { return &Latest{updates: make(chan struct{}, 1)} }

// Set replaces the report and notifies the receiver of Updated.
func (l *Latest) Set(r Report) {
	l.mu.Lock()
	l.report, l.known = r, true
	l.mu.Unlock()
	select {
	case l.updates <- struct{}{}:
	default:
	}
}

// Clear drops the report. It is called when this instance changes the instance
// whose reports it follows.
func (l *Latest) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report, l.known = Report{}, false
}

// Get returns the latest report, and false if there is none.
func (l *Latest) Get() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.known
}

// Updated returns a channel that receives an element after each call of Set. Calls
// in quick succession may be combined into one element.
func (l *Latest) Updated() <-chan struct{} { return l.updates }
