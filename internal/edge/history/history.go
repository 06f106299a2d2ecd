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
	"slices"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

// maxChanges is the number of changes that are kept. It covers a few seconds
// during which all endpoints are replaced; a message with all of them has about
// 30 kB.
const maxChanges = 256

// History holds the changes between two positions of the store, of the same era,
// without a gap; the later one is the newest position that is known. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	batches []batch           // oldest first
	from    position.Position // all changes after this position are kept
	to      position.Position // newest known position
	size    int               // number of changes in batches
}

// batch holds the changes of one answer of the store.
type batch struct {
	to      position.Position // position that the changes lead to
	changes []change.Change
}

// New returns an empty history that begins at the zero position.
func New() *History { return new(History) }

// Reset drops all changes and makes the history begin at a position. It is called
// after the store was listed, as the changes up to that position are then unknown.
func (h *History) Reset(at position.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(at)
}

func (h *History) reset(at position.Position) { h.batches, h.from, h.to, h.size = nil, at, at, 0 }

// Add appends the changes from the newest known position to the position to; it does
// nothing if to is not newer. Changes of drained data centres are left out, as instances tell each other
// all that are drained. If the list contains a catalog, which is too large
// to pass on, or more than maxChanges changes, or if to is of another era, the
// history begins anew at to.
func (h *History) Add(list []change.Change, to position.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to.Compare(h.to) <= 0 {
		return
	}
	if !shareable(list) || len(list) > maxChanges || to.Era != h.to.Era {
		h.reset(to)
		return
	}
	h.to = to
	list = slices.DeleteFunc(slices.Clone(list), isDrain)
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
		case change.Registered, change.Unregistered, change.Unreadable, change.Drained, change.Undrained:
		default:
			panic(fmt.Sprintf("history: got change %T", c))
		}
	}
	return true
}

func isDrain(c change.Change) bool {
	switch c.(type) {
	case change.Drained, change.Undrained:
		return true
	}
	return false
}

// Since returns all changes after a position and the newest known position, or
// false if some of these changes are no longer kept, or after is of another era or
// newer than the newest known position. The list may begin with changes that the caller already
// knows; applying all of them in order leads to the same state.
func (h *History) Since(after position.Position) (list []change.Change, to position.Position, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after.Era != h.to.Era || after.Before(h.from) || h.to.Before(after) {
		return nil, position.Position{}, false
	}
	for _, b := range h.batches {
		if after.Before(b.to) {
			list = append(list, b.changes...)
		}
	}
	return list, h.to, true
}
