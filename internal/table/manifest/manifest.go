// Package manifest provides the form in which a table is published: a short
// manifest that names groups, groups that name parts, and parts that hold rows.
// Groups and parts are named by the digest of their content, so that an
// instance fetches only those that it lacks.
package manifest

// This file defines Manifest and how it is read.

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
	"github.com/jacinthstile/jacinthstile/internal/table/store"
)

// Key is the platform key that holds the manifest.
const Key = "table"

// PartPrefix precedes the digest of a group or part in its platform key.
const PartPrefix = "table/part/"

// mostNames bounds the groups of a manifest and the parts of a group.
const mostNames = 4096

// Manifest names one version of the table and the groups that make it up.
type Manifest struct {
	Epoch   uint64   `json:"epoch"`
	Version uint64   `json:"version"`
	Groups  []string `json:"groups"` // digests, in the order in which rows are joined

	tie uint64
}

// Parse reads a manifest. The error is a problem.List where values are at fault.
func Parse(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("parsing manifest: %w", err)
	}
	m.tie = tieOf(store.Digest(data))
	var list problem.List
	if m.Version == 0 {
		list.Add("manifest", "version", 0, "1 or more")
	}
	checkNames(&list, "manifest", "groups", m.Groups)
	return m, list.Err()
}

// tieOf returns the first 64 bits of a digest.
func tieOf(digest string) uint64 {
	n, err := strconv.ParseUint(digest[:16], 16, 64)
	if err != nil {
		panic(fmt.Sprintf("manifest: reading digest %q: %v", digest, err))
	}
	return n
}

func checkNames(list *problem.List, row, column string, names []string) {
	if len(names) == 0 || len(names) > mostNames {
		list.Add(row, column, fmt.Sprintf("%d digests", len(names)), fmt.Sprintf("1 to %d digests", mostNames))
		return
	}
	for i, n := range names {
		if raw, err := hex.DecodeString(n); err != nil || len(raw) != 32 {
			list.Add(row, fmt.Sprintf("%s[%d]", column, i), n, "64 hex digits")
		}
	}
}

// Revision returns the place of the table among all.
func (m Manifest) Revision() revision.Revision {
	return revision.Revision{Epoch: m.Epoch, Version: m.Version, Tie: m.tie}
}

// group names parts.
type group struct {
	Parts []string `json:"parts"` // digests, in the order in which rows are joined
}

// Parts returns the digests of the parts, in the order in which rows are
// joined. All groups must be held by objects.
func (m Manifest) Parts(objects *store.Store) ([]string, error) {
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
		checkNames(&list, "group "+digest, "parts", g.Parts)
		if err := list.Err(); err != nil {
			return nil, err
		}
		out = append(out, g.Parts...)
	}
	return out, nil
}

// Join builds and freezes the table from the objects. What it has in common
// with prev, which may be nil, is shared with it.
func (m Manifest) Join(objects *store.Store, prev *sheet.Sheet) (*sheet.Sheet, error) {
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
	return sheet.Join(m.Revision(), parts, prev)
}
