// Package position provides positions in the history of the platform's metadata store.
//
// A store that comes back from a copy gives out revisions again that it had given out
// before, so a revision alone does not say which of two states is newer. Each return
// from a copy begins a new era, and positions are ordered by era first.
package position

// This file defines Position.

import (
	"cmp"
	"fmt"
)

// Position is a state of the store. The zero value is the position before the first
// revision of the first era.
type Position struct {
	Era      uint64 // number of the times that the store returned from a copy, as the store counts them
	Revision uint64 // revision within the era
}

// Compare returns -1 if p is earlier than q, 1 if it is later, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Era, q.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, q.Revision)
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Known reports whether p is a position that the store has given out; its revisions
// start above zero.
func (p Position) Known() bool { return p.Revision != 0 }

// String returns the text that logs use.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Era, p.Revision) }
