// Package revision provides the total order of the published versions of the
// table. It does no I/O.
package revision

// This file defines Revision.

import (
	"cmp"
	"fmt"
)

// Revision identifies a published version of the table and orders it among the
// others, by epoch, version and tie. The zero value is before all published
// revisions.
type Revision struct {
	Epoch   uint64
	Version uint64
	Tie     uint64 // first 64 bits of the manifest's digest; orders tables published by mistake under the same epoch and version
}

// Compare returns -1 if r is before o, 0 if they are equal and 1 if r is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(
		cmp.Compare(r.Epoch, o.Epoch),
		cmp.Compare(r.Version, o.Version),
		cmp.Compare(r.Tie, o.Tie),
	)
}

// After reports whether r is newer than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Conflicts reports whether r and o are two different tables that were published
// under the same epoch and version.
func (r Revision) Conflicts(o Revision) bool {
	return r.Epoch == o.Epoch && r.Version == o.Version && r.Tie != o.Tie
}

// String returns the epoch and version as "epoch.version", without the tie.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch, r.Version) }
