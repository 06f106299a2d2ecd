// Package manifest provides the format in which a table is published: a short
// manifest that lists groups, groups that list parts, and parts that hold rows.
// Groups and parts are objects that are named by the SHA-256 digest of their
// content, so that an instance fetches only those that it lacks. The package does
// no I/O.
package manifest

// This file defines Manifest, its parsing and the assembly of its table.

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Key is the platform key of the manifest.
const Key = "table"

// PartPrefix is the prefix of the platform keys of groups and parts; their digest
// follows.
const PartPrefix = "table/part/"

// maxDigests limits the groups of a manifest and the parts of a group.
const maxDigests = 4096

// Manifest identifies one version of the table and lists its groups.
type Manifest struct {
	Epoch   uint64   `json:"epoch"`
	Version uint64   `json:"version"`
	Groups  []string `json:"groups"` // digests, in the order in which rows are joined

	tie uint64 // see revision.Revision; set by Parse
}

// Parse decodes and checks a manifest. It returns a problem.List as the error if
// the JSON is valid but values are not.
func Parse(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("parsing manifest: %w", err)
	}
	m.tie = tieOf(objectstore.Digest(data))
	var list problem.List
	if m.Version == 0 {
		list.Add("manifest", "version", 0, "1 or more")
	}
	checkDigests(&list, "manifest", "groups", m.Groups)
	return m, list.Err()
}

// tieOf returns the first 64 bits of a digest in hex.
func tieOf(digest string) uint64 {
	n, err := strconv.ParseUint(digest[:16], 16, 64)
	if err != nil {
		panic(fmt.Sprintf("manifest: reading digest %q: %v", digest, err))
	}
	return n
}

// checkDigests reports a list of digests that is empty or too long, and each
// entry that is not a digest.
func checkDigests(list *problem.List, row, column string, digests []string) {
	if len(digests) == 0 || len(digests) > maxDigests {
		list.Add(row, column, fmt.Sprintf("%d digests", len(digests)), fmt.Sprintf("1 to %d digests", maxDigests))
		return
	}
	for i, d := range digests {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != 32 {
			list.Add(row, fmt.Sprintf("%s[%d]", column, i), d, "64 hex digits")
		}
	}
}

// Revision returns the revision of the table. Its tie is zero unless m was parsed.
func (m Manifest) Revision() revision.Revision {
	return revision.Revision{Epoch: m.Epoch, Version: m.Version, Tie: m.tie}
}

// group is the content of a group object.
type group struct {
	Parts []string `json:"parts"` // digests, in the order in which rows are joined
}

// Parts returns the digests of the parts, in the order in which their rows are
// joined. It returns an error if objects lacks a group or a group is invalid.
func (m Manifest) Parts(objects *objectstore.Store) ([]string, error) {
	var out []string
	for _, digest := range m.Groups {
		data, ok := objects.Get(digest)
		if !ok {
			return nil, fmt.Errorf("reading table %s: group %s is not held", m.Revision(), digest)
		}
		var g group
		if err := json.Unmarshal(data, &g); err != nil {
			return nil, fmt.Errorf("parsing group %s: %w", digest, err)
		}
		var list problem.List
		checkDigests(&list, "group "+digest, "parts", g.Parts)
		if err := list.Err(); err != nil {
			return nil, err
		}
		out = append(out, g.Parts...)
	}
	return out, nil
}

// Join assembles, checks and freezes the table. All groups and parts must be in
// objects. To save memory and time, the result shares data that has not changed
// with prev, which may be nil.
func (m Manifest) Join(objects *objectstore.Store, prev *fleettable.Table) (*fleettable.Table, error) {
	digests, err := m.Parts(objects)
	if err != nil {
		return nil, err
	}
	parts := make([]*fragment.Fragment, 0, len(digests))
	for _, d := range digests {
		f, err := objects.Fragment(d)
		if err != nil {
			return nil, err
		}
		parts = append(parts, f)
	}
	return fleettable.Join(m.Revision(), parts, prev)
}
