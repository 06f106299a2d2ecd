// Package revision orders the published versions of the table.
package revision

// This file defines Revision.

import (
	"cmp"
	"fmt"
)

// Revision is the place of a table among all that were published. The zero
// value stands before all of them.
type Revision struct {
	Epoch   uint64
	Version uint64
	Tie     uint64 // from the manifest's digest; orders tables that were published under one pair by mistake
}

// Compare returns -1, 0 or 1 as r stands before, at or after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(
		cmp.Compare(r.Epoch, o.Epoch),
		cmp.Compare(r.Version, o.Version),
		cmp.Compare(r.Tie, o.Tie),
	)
}

// After reports whether r stands after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Conflicts reports whether r and o are two tables under one pair.
func (r Revision) Conflicts(o Revision) bool {
	return r.Epoch == o.Epoch && r.Version == o.Version && r.Tie != o.Tie
}

// String returns "epoch.version".
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch, r.Version) }
