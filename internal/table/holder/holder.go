// Package holder provides access to the table in force: the version of the table
// that this instance currently uses. Reading it takes no lock. The package does no
// I/O.
package holder

// This file defines Holder.

import (
	"sync"
	"sync/atomic"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Holder holds the table in force and notifies watchers when it is replaced. Only
// a newer table replaces the one in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[fleettable.Table]

	mu       sync.Mutex
	watchers []func(*fleettable.Table)
}

// New returns a Holder with no table in force.
func New() *Holder { return new(Holder) }

// Current returns the table in force, or nil if there is none. The table is
// immutable.
func (h *Holder) Current() *fleettable.Table { return h.current.Load() }

// Version returns the epoch and version of the table in force, or zeros if there is
// none.
func (h *Holder) Version() (epoch, version uint64) {
	if s := h.Current(); s != nil {
		return s.Epoch, s.Version
	}
	return 0, 0
}

// Activate puts a frozen table in force and reports true, unless the same or a newer
// one is in force already. It calls the watchers before it returns, in the order of
// their registration.
func (h *Holder) Activate(table *fleettable.Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !table.After(h.current.Load()) {
		return false
	}
	h.current.Store(table)
	for _, w := range h.watchers {
		w(table)
	}
	return true
}

// Watch registers a function that is called with each table put in force from now
// on. The function runs with the Holder's lock held: it must return soon and must
// not call Activate or Watch.
func (h *Holder) Watch(f func(*fleettable.Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
}
