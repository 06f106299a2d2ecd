package manifest

// This file splits a table into a manifest and its objects.

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

const (
	rowsPerPart   = 64 // upper limit of the mean number of endpoints or accounts in a part
	partsPerGroup = 32
)

// Pack splits a table into a manifest and its objects (groups and parts), which it
// returns by digest. The hash of its name decides which part an endpoint or
// account belongs to, so that a changed row changes only one part, one group and
// the manifest. It returns an error if an object exceeds the platform's size limit
// for a value.
func Pack(table *fleettable.Table) (Manifest, map[string][]byte, error) {
	m := Manifest{Epoch: table.Epoch, Version: table.Version}
	objects := make(map[string][]byte)
	add := func(v any) (string, error) {
		data, err := json.Marshal(v)
		if err != nil {
			return "", fmt.Errorf("packing table: %w", err)
		}
		if len(data) > configclient.MaxValueBytes {
			return "", fmt.Errorf("packing table: got a part of %d bytes, want at most %d", len(data), configclient.MaxValueBytes)
		}
		d := objectstore.Digest(data)
		objects[d] = data
		return d, nil
	}
	var current group
	for i, f := range fragments(table) {
		if i > 0 && i%partsPerGroup == 0 {
			d, err := add(current)
			if err != nil {
				return Manifest{}, nil, err
			}
			m.Groups, current = append(m.Groups, d), group{}
		}
		d, err := add(f)
		if err != nil {
			return Manifest{}, nil, err
		}
		current.Parts = append(current.Parts, d)
	}
	d, err := add(current)
	if err != nil {
		return Manifest{}, nil, err
	}
	m.Groups = append(m.Groups, d)
	return m, objects, nil
}

// fragments returns the table's rows split into parts: one part with everything
// but endpoints and accounts, then the parts of endpoints and of accounts.
func fragments(table *fleettable.Table) []fragment.Fragment {
	out := []fragment.Fragment{{
		Policy:    table.Policy,
		Centres:   table.Centres,
		Pipelines: table.Pipelines,
		Models:    table.Models,
		Services:  table.Services,
	}}
	for _, rows := range buckets(table.Endpoints, func(r endpoint.Endpoint) string { return r.Name }) {
		out = append(out, fragment.Fragment{Endpoints: rows})
	}
	for _, rows := range buckets(table.Accounts, func(r account.Account) string { return r.Name }) {
		out = append(out, fragment.Fragment{Accounts: rows})
	}
	return out
}

// buckets distributes rows to buckets by the hash of their names. The number of
// buckets is a power of two, so that a table that grows by a few rows usually
// keeps its distribution.
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
