package manifest_test

// This file fuzzes the published bytes of manifests, groups and parts.

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

// FuzzJoin guards against a crash, and against an incomplete table that is
// accepted, when the platform or a peer delivers arbitrary bytes as the manifest, a
// group or a part: the bytes must be refused or make a complete, valid table.
func FuzzJoin(f *testing.F) {
	data, err := examples.Files.ReadFile("slamka/table.json")
	if err != nil {
		f.Fatal(err)
	}
	table, err := fleettable.Parse(data)
	if err != nil {
		f.Fatal(err)
	}
	m, objects, err := manifest.Pack(table)
	if err != nil {
		f.Fatal(err)
	}
	whole, err := json.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole, []byte(`{"parts":[]}`), data)
	for _, object := range objects {
		f.Add([]byte(`{"epoch":1,"version":2,"groups":["%s"]}`), []byte(`{"parts":["%s"]}`), object)
	}
	f.Fuzz(func(t *testing.T, first, group, part []byte) {
		held := objectstore.New()
		put := func(data []byte) string {
			digest := objectstore.Digest(data)
			if err := held.Put(digest, data); err != nil {
				t.Fatalf("storing under its own digest: %v", err)
			}
			return digest
		}
		group = fill(group, put(part))
		m, err := manifest.Parse(fill(first, put(group)))
		if err != nil {
			return
		}
		table, err := m.Join(held, nil)
		if err != nil {
			return
		}
		if table.Policy == nil || table.Revision() != m.Revision() {
			t.Errorf("got table %v with policy %v, want %v with one", table.Revision(), table.Policy, m.Revision())
		}
	})
}

// fill replaces the first "%s" in text, if there is one, with a digest.
func fill(text []byte, digest string) []byte {
	const place = "%s"
	for i := range len(text) - len(place) + 1 {
		if string(text[i:i+len(place)]) == place {
			return fmt.Appendf(nil, "%s%s%s", text[:i], digest, text[i+len(place):])
		}
	}
	return text
}
