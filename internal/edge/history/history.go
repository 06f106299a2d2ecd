// Package history keeps the last changes of a store, so that an instance that
// knows them can tell others, who then need not ask the store themselves.
//
// It answers many endpoints that register or leave one after the other before
// many instances: each change would cost a call of every instance.
package history

// This file defines History.

import (
	"fmt"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// most is the number of changes that are kept, a few seconds of a fleet that is
// replaced, and about 30 kB for who is told all of them.
const most = 256

// History holds the changes of some revisions, without a gap up to the newest
// one. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	spans []span
	from  uint64 // revision after which all changes are kept
	to    uint64
	held  int // changes in spans
}

// span is the changes that came with one answer of the store.
type span struct {
	to      uint64
	changes []change.Change
}

// New returns a history of nothing.
func New() *History { return new(History) }

// Reset forgets all changes: the store was listed, as of a revision.
func (h *History) Reset(at uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(at)
}

func (h *History) reset(at uint64) { h.spans, h.from, h.to, h.held = nil, at, at, 0 }

// Add appends the changes after the newest revision, up to another one. A
// catalog is too large to be told; what came before it is forgotten.
func (h *History) Add(list []change.Change, to uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to <= h.to {
		return
	}
	if !tellable(list) || len(list) > most {
		h.reset(to)
		return
	}
	h.to = to
	if len(list) == 0 {
		return
	}
	h.spans = append(h.spans, span{to: to, changes: list})
	h.held += len(list)
	for h.held > most {
		h.held -= len(h.spans[0].changes)
		h.from = h.spans[0].to
		h.spans = h.spans[1:]
	}
}

func tellable(list []change.Change) bool {
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

// Since returns the changes after a revision and the newest revision, and false
// where not all of them are kept. Some of the changes may be of that revision or
// older ones; applied in their order they end in the same state.
func (h *History) Since(after uint64) (list []change.Change, to uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.from || after > h.to {
		return nil, 0, false
	}
	for _, s := range h.spans {
		if s.to > after {
			list = append(list, s.changes...)
		}
	}
	return list, h.to, true
}
