// Package holder keeps the table that is in force on this instance.
package holder

// This file defines Holder.

import (
	"sync"
	"sync/atomic"

	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Holder publishes the table in force. Its (epoch, version) only rises.
type Holder struct {
	current atomic.Pointer[sheet.Sheet]

	mu       sync.Mutex
	watchers []func(*sheet.Sheet)
}

// New returns a holder with no table in force.
func New() *Holder { return new(Holder) }

// Current returns the table in force, or nil. The table is immutable.
func (h *Holder) Current() *sheet.Sheet { return h.current.Load() }

// Pair returns the (epoch, version) in force, zeros for none.
func (h *Holder) Pair() (epoch, version uint64) {
	if s := h.Current(); s != nil {
		return s.Epoch, s.Version
	}
	return 0, 0
}

// Raise puts a frozen table in force and reports true, unless one as new or newer is in force already.
// Watchers run before it returns, in the order of their registration.
func (h *Holder) Raise(s *sheet.Sheet) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !s.After(h.current.Load()) {
		return false
	}
	h.current.Store(s)
	for _, w := range h.watchers {
		w(s)
	}
	return true
}

// Watch registers a function that is called with each table put in force from now on.
// It must return soon and must not call Raise.
func (h *Holder) Watch(f func(*sheet.Sheet)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
}
