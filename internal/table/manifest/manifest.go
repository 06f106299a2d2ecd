// Package manifest provides the form in which a table is published: a short
// manifest that names content-addressed parts, each a fragment of the rows.
// An instance fetches only the parts whose digest it lacks.
package manifest

// This file defines Manifest, how a table is packed into parts and joined again.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Key is the platform key that holds the manifest.
const Key = "table"

// PartPrefix precedes a part's digest in its platform key.
const PartPrefix = "table/part/"

// Manifest names one version of the table and the parts that make it up.
type Manifest struct {
	Epoch   uint64   `json:"epoch"`
	Version uint64   `json:"version"`
	Parts   []string `json:"parts"` // digests, in the order in which rows are joined
}

// rowsPerPart bounds a part to some tens of KB.
const rowsPerPart = 200

// Digest returns the name of a part's content.
func Digest(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}

// Pack splits a table into a manifest and its parts by digest.
// Rows fall into a bucket by the hash of their name, so that a changed row changes one part.
func Pack(s *sheet.Sheet) (Manifest, map[string][]byte, error) {
	m := Manifest{Epoch: s.Epoch, Version: s.Version}
	parts := make(map[string][]byte)
	for _, f := range fragments(s) {
		data, err := json.Marshal(f)
		if err != nil {
			return Manifest{}, nil, fmt.Errorf("packing table: %w", err)
		}
		d := Digest(data)
		parts[d] = data
		m.Parts = append(m.Parts, d)
	}
	return m, parts, nil
}

func fragments(s *sheet.Sheet) []sheet.Sheet {
	out := []sheet.Sheet{{
		Policy:    s.Policy,
		Centres:   s.Centres,
		Pipelines: s.Pipelines,
		Models:    s.Models,
		Services:  s.Services,
	}}
	for _, rows := range buckets(s.Endpoints, func(r endpoint.Endpoint) string { return r.Name }) {
		out = append(out, sheet.Sheet{Endpoints: rows})
	}
	for _, rows := range buckets(s.Accounts, func(r account.Account) string { return r.Name }) {
		out = append(out, sheet.Sheet{Accounts: rows})
	}
	return out
}

// buckets groups rows by the hash of their names. The count is a power of two,
// so that a table that grows by a few rows keeps its grouping.
func buckets[R any](rows []R, name func(R) string) [][]R {
	n := 1
	for n*rowsPerPart < len(rows) {
		n *= 2
	}
	out := make([][]R, n)
	for _, r := range rows {
		i := xxhash.Sum64String(name(r)) % uint64(n)
		out[i] = append(out[i], r)
	}
	return out
}

// Join builds and freezes the table from its parts. It refuses a part whose
// content does not have the digest that names it.
func (m Manifest) Join(parts map[string][]byte) (*sheet.Sheet, error) {
	s := &sheet.Sheet{Epoch: m.Epoch, Version: m.Version}
	for _, d := range m.Parts {
		data, ok := parts[d]
		if !ok {
			return nil, fmt.Errorf("joining table: part %s is missing", d)
		}
		if got := Digest(data); got != d {
			return nil, fmt.Errorf("joining table: got digest %s, want %s", got, d)
		}
		if err := appendPart(s, data); err != nil {
			return nil, fmt.Errorf("joining table: part %s: %w", d, err)
		}
	}
	if err := s.Freeze(); err != nil {
		return nil, err
	}
	return s, nil
}

func appendPart(s *sheet.Sheet, data []byte) error {
	var f sheet.Sheet
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if f.Policy != nil {
		s.Policy = f.Policy
	}
	s.Centres = append(s.Centres, f.Centres...)
	s.Endpoints = append(s.Endpoints, f.Endpoints...)
	s.Accounts = append(s.Accounts, f.Accounts...)
	s.Pipelines = append(s.Pipelines, f.Pipelines...)
	s.Models = append(s.Models, f.Models...)
	s.Services = append(s.Services, f.Services...)
	return nil
}

// After reports whether (epoch, version) of m is greater than the given pair.
func (m Manifest) After(epoch, version uint64) bool {
	if m.Epoch != epoch {
		return m.Epoch > epoch
	}
	return m.Version > version
}
