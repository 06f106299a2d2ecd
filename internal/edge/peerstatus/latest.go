// Package peerstatus holds what other instances report about the store, so that not
// every instance has to read the store itself. A report says which position of the
// store was the newest at which time. An instance that knows all changes up to that
// position was up to date at that time. Reports also tell an instance what a store
// that came back from a copy has lost: the newest version of the catalog that any
// instance has in force, and since when the era is known. The package does no I/O.
package peerstatus

// This file defines Latest and Report.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

// Report is a report of another instance about the store.
type Report struct {
	Position position.Position // newest position of the store at the time ConfirmedAt
	Version  uint64            // version of the catalog that the other instance has in force
	// ConfirmedAt is a time of this instance's boot clock: the time at which the
	// other instance was asked, less the age that it gave for its confirmation.
	ConfirmedAt time.Duration
	// Changes lists all changes from position After to Position if Complete is true.
	Changes  []change.Change
	After    position.Position
	Complete bool
	// Drained lists the drained data centres that the store named at Position, unless DrainedUnknown is true:
	// an instance of an older build does not follow them.
	Drained        []string
	DrainedUnknown bool
}

// Known is what some instance of the fleet knows. Version and Era only rise.
type Known struct {
	Version    uint64        // newest version of the catalog that any instance has in force
	Era        uint64        // newest era of the store
	EraBeganBy time.Duration // when the era had begun already, on this instance's boot clock; zero if not known
}

// Drained are the data centres that an instance knew to be drained at a position of the store.
type Drained struct {
	Centres  []string
	Position position.Position
}

// Latest holds the latest report of the leader and what all instances together know.
// It is safe for concurrent use.
type Latest struct {
	mu      sync.Mutex
	report  Report
	known   bool // whether there is a report
	fleet   Known
	drained Drained
	updates chan struct{} // buffers one element
	heard   chan struct{} // closed at the first call of Observe
}

// New returns a Latest without a report.
func New() *Latest {
	return &Latest{updates: make(chan struct{}, 1), heard: make(chan struct{})}
}

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

// SetDrained records which data centres any instance knew to be drained. One that leads follows no reports: it
// learns them here if the store turns it away. What was known at no later position is ignored.
func (l *Latest) SetDrained(d Drained) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained.Position.Before(d.Position) {
		l.drained = d
	}
}

// Drained returns what SetDrained recorded, and false if there is nothing.
func (l *Latest) Drained() (Drained, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drained, l.drained.Position.Known()
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

// Observe records what another instance knows. Any instance may tell it, not only the
// one whose reports are followed.
func (l *Latest) Observe(k Known) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Version = max(l.fleet.Version, k.Version)
	switch {
	case k.Era > l.fleet.Era:
		l.fleet.Era, l.fleet.EraBeganBy = k.Era, k.EraBeganBy
	case k.Era == l.fleet.Era && k.EraBeganBy > 0 && (l.fleet.EraBeganBy == 0 || k.EraBeganBy < l.fleet.EraBeganBy):
		l.fleet.EraBeganBy = k.EraBeganBy
	}
	select {
	case <-l.heard:
	default:
		close(l.heard)
	}
}

// Fleet returns what all instances together are known to know.
func (l *Latest) Fleet() Known {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet
}

// Heard returns a channel that is closed once another instance has told what it knows.
func (l *Latest) Heard() <-chan struct{} { return l.heard }
