// Package history keeps the most recent changes of the store in memory, so that
// an instance can pass them on to others, which then need not read the store
// themselves.
//
// It answers many endpoints that register or unregister one after the other in a
// deployment of many instances: without it, each change would cost one call to
// the store from every instance. The package does no I/O.
package history

// This file defines History.

import (
	"fmt"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// maxChanges is the number of changes that are kept. It covers a few seconds
// during which all endpoints are replaced; a message with all of them has about
// 30 kB.
const maxChanges = 256

// History holds the changes between two revisions of the store without a gap; the
// later one is the newest revision that is known. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	batches []batch // oldest first
	from    uint64  // all changes after this revision are kept
	to      uint64  // newest known revision
	size    int     // number of changes in batches
}

// batch holds the changes of one answer of the store.
type batch struct {
	to      uint64 // revision that the changes lead to
	changes []change.Change
}

// New returns an empty history that begins at revision 0.
func New() *History { return new(History) }

// Reset drops all changes and makes the history begin at revision at. It is called
// after the store was listed, as the changes up to that revision are then unknown.
func (h *History) Reset(at uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(at)
}

func (h *History) reset(at uint64) { h.batches, h.from, h.to, h.size = nil, at, at, 0 }

// Add appends the changes from the newest known revision to revision to; it does
// nothing if to is not newer. If the list contains a catalog, which is too large
// to pass on, or more than maxChanges changes, the history begins anew at to.
func (h *History) Add(list []change.Change, to uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to <= h.to {
		return
	}
	if !shareable(list) || len(list) > maxChanges {
		h.reset(to)
		return
	}
	h.to = to
	if len(list) == 0 {
		return
	}
	h.batches = append(h.batches, batch{to: to, changes: list})
	h.size += len(list)
	for h.size > maxChanges {
		h.size -= len(h.batches[0].changes)
		h.from = h.batches[0].to
		h.batches = h.batches[1:]
	}
}

// shareable reports whether the changes are small enough to pass on to other
// instances, that is, whether none of them is a catalog.
func shareable(list []change.Change) bool {
	for _, c := range list {
		switch c := c.(type) {
		case change.Published:
			return false
		case change.Registered, change.Unregistered, change.Unreadable:
		default:
			panic(fmt.Sprintf("history: got change %T", c))
		}
	}
	return true
}

// Since returns all changes after a revision and the newest known revision, or
// false if some of these changes are no longer kept or after is newer than the
// newest known revision. The list may begin with changes that the caller already
// knows; applying all of them in order leads to the same state.
func (h *History) Since(after uint64) (list []change.Change, to uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.from || after > h.to {
		return nil, 0, false
	}
	for _, b := range h.batches {
		if b.to > after {
			list = append(list, b.changes...)
		}
	}
	return list, h.to, true
}
