package manifest_test

// This file tests how much of a packed table a change affects, and the decoding of
// manifests, and measures the assembly of tables.

import (
	"bytes"
	"encoding/json"
	"reflect"
	"runtime"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

// publish packs s, stores its objects and returns the parsed manifest and the
// objects by digest.
func publish(tb testing.TB, table *fleettable.Table, objects *objectstore.Store) (manifest.Manifest, map[string][]byte) {
	tb.Helper()
	m, parts, err := manifest.Pack(table)
	if err != nil {
		tb.Fatal(err)
	}
	for digest, data := range parts {
		if err := objects.Put(digest, data); err != nil {
			tb.Fatal(err)
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	m, err = manifest.Parse(data)
	if err != nil {
		tb.Fatal(err)
	}
	return m, parts
}

// full returns a table of the size that the system is designed for.
func full(tb testing.TB) *fleettable.Table {
	tb.Helper()
	table, err := tablegen.Generate(tablegen.FullSize())
	if err != nil {
		tb.Fatal(err)
	}
	return table
}

// change returns a copy of s with the next version and one endpoint weight (even n)
// or one account rate (odd n) changed.
func change(table *fleettable.Table, n int) *fleettable.Table {
	c := *table
	c.Version++
	if n%2 == 0 {
		c.Endpoints = append(c.Endpoints[:0:0], c.Endpoints...)
		c.Endpoints[n%len(c.Endpoints)].Weight += 0.5
	} else {
		c.Accounts = append(c.Accounts[:0:0], c.Accounts...)
		c.Accounts[n%len(c.Accounts)].Rate += 0.5
	}
	return &c
}

// TestChangedRowChangesOnePartAndOneGroup guards against a packing in which a
// small change makes every instance fetch a large part of the table again.
func TestChangedRowChangesOnePartAndOneGroup(t *testing.T) {
	g := NewWithT(t)
	s := full(t)
	_, before := publish(t, s, objectstore.New())
	for n := range 4 {
		m, after := publish(t, change(s, n), objectstore.New())
		fresh, bytes := 0, 0
		for digest, data := range after {
			if before[digest] == nil {
				fresh++
				bytes += len(data)
			}
			g.Expect(len(data)).To(BeNumerically("<=", configclient.MaxValueBytes))
		}
		data, err := json.Marshal(m)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fresh).To(Equal(2))
		g.Expect(len(data)).To(BeNumerically("<", 4<<10), "the manifest")
		g.Expect(bytes).To(BeNumerically("<", 30<<10), "the part and its group")
	}
}

// TestJoinedTableIsTheOneThatWasPacked guards against rows or indexes of the
// previous table that remain in the next one, since tables share unchanged data.
func TestJoinedTableIsTheOneThatWasPacked(t *testing.T) {
	g := NewWithT(t)
	table, err := tablegen.Generate(tablegen.Options{Accounts: 2900, Endpoints: 400, Centres: 10, Models: 23})
	g.Expect(err).NotTo(HaveOccurred())
	objects := objectstore.New()
	m, _ := publish(t, table, objects)
	first, err := m.Join(objects, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for n := range 4 {
		next := change(table, n)
		m, _ := publish(t, next, objects)
		joined, err := m.Join(objects, first)
		g.Expect(err).NotTo(HaveOccurred())
		for _, e := range next.Endpoints {
			if got := joined.Endpoint(e.Name); !reflect.DeepEqual(*got, e) {
				t.Fatalf("got %+v, want %+v", *got, e)
			}
		}
		for _, a := range next.Accounts {
			if got := joined.Account(a.Name); *got != a || joined.AccountByDigest(a.Digest) != got {
				t.Fatalf("got %+v, want %+v", *got, a)
			}
		}
		g.Expect(joined.After(first)).To(BeTrue())
	}
}

// FuzzParse guards against a manifest that is accepted without a version or groups.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"version":2,"groups":["` + objectstore.Digest(nil) + `"]}`))
	f.Add([]byte(`{"epoch":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse(data)
		if err == nil && (m.Version == 0 || len(m.Groups) == 0) {
			t.Fatalf("got %+v without an error", m)
		}
	})
}

// BenchmarkJoin measures the assembly of a full-size table: "cold" decodes all
// parts, "endpoint" and "account" only the part with the changed row.
func BenchmarkJoin(b *testing.B) {
	s := full(b)
	b.Run("cold", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			objects := objectstore.New()
			m, _ := publish(b, s, objects)
			b.StartTimer()
			if _, err := m.Join(objects, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	for n, name := range []string{"endpoint", "account"} {
		b.Run(name, func(b *testing.B) {
			objects := objectstore.New()
			m, _ := publish(b, s, objects)
			now, err := m.Join(objects, nil)
			if err != nil {
				b.Fatal(err)
			}
			at, table := n, s
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				at += 2
				table = change(table, at)
				m, _ := publish(b, table, objects)
				b.StartTimer()
				if now, err = m.Join(objects, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHeld measures the memory used by a table in force together with the
// objects that are kept for peers.
func BenchmarkHeld(b *testing.B) {
	for _, accounts := range []int{1_000, 10_000, 29_000} {
		b.Run(strconv.Itoa(accounts), func(b *testing.B) {
			o := tablegen.FullSize()
			o.Accounts = accounts
			table, err := tablegen.Generate(o)
			if err != nil {
				b.Fatal(err)
			}
			_, parts := publish(b, table, objectstore.New())
			for b.Loop() {
				before := heap()
				objects := objectstore.New()
				for digest, data := range parts {
					if err := objects.Put(digest, bytes.Clone(data)); err != nil {
						b.Fatal(err)
					}
				}
				m, _, _ := manifest.Pack(table)
				joined, err := m.Join(objects, nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heap()-before)/(1<<20), "MB-held")
				b.ReportMetric(float64(objects.Bytes())/(1<<20), "MB-objects")
				runtime.KeepAlive(joined)
				runtime.KeepAlive(objects)
			}
		})
	}
}

// heap returns the bytes of live heap objects.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
