// Package volume measures the bytes that a day of table changes costs one
// instance: whole values against parts that are addressed by their content.
package volume

// This file defines Options, Result and Run.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

const day = 24 * time.Hour

// accounts is the share of changes that touch an account row; the rest touch endpoints.
const accounts = 0.3

// Options chooses the run.
type Options struct {
	Rows    tablegen.Options
	Changes int // in a day
	Seed    uint64
}

// Result is what a day costs one instance.
type Result struct {
	Changes  int     `json:"changes"`
	Whole    int64   `json:"whole"`    // bytes when the whole table is read at each change
	Values   int     `json:"values"`   // values of the size limit that the whole table takes
	Flat     int64   `json:"flat"`     // bytes when one manifest names every part
	Parts    int64   `json:"parts"`    // bytes when groups stand between
	Saved    int64   `json:"saved"`    // bytes of new tables that were held already
	Objects  int     `json:"objects"`  // objects fetched
	Table    int64   `json:"table"`    // bytes of the table as it is now
	Manifest int     `json:"manifest"` // bytes of the manifest
	CPU      float64 `json:"cpu"`      // seconds to put all changes in force
}

// Rate returns bytes in a day as bytes a second.
func Rate(bytes int64) float64 { return float64(bytes) / day.Seconds() }

// Run applies the changes one after the other, each in force before the next.
func Run(o Options) (Result, error) {
	table, err := tablegen.Generate(o.Rows)
	if err != nil {
		return Result{}, err
	}
	r := &run{rng: rand.New(rand.NewPCG(o.Seed, 0)), objects: objectstore.New(), result: Result{Changes: o.Changes}}
	if err := r.apply(table); err != nil {
		return Result{}, err
	}
	r.result = Result{Changes: o.Changes}
	for range o.Changes {
		table = r.change(table)
		if err := r.apply(table); err != nil {
			return Result{}, err
		}
	}
	return r.result, nil
}

type run struct {
	rng     *rand.Rand
	objects *objectstore.Store
	table   *fleettable.Table // in force
	result  Result
}

// change returns the table with one row changed.
func (r *run) change(s *fleettable.Table) *fleettable.Table {
	c := *s
	c.Version++
	if r.rng.Float64() < accounts {
		c.Accounts = append(c.Accounts[:0:0], c.Accounts...)
		c.Accounts[r.rng.IntN(len(c.Accounts))].Rate = float64(1 + r.rng.IntN(1000))
		return &c
	}
	c.Endpoints = append(c.Endpoints[:0:0], c.Endpoints...)
	c.Endpoints[r.rng.IntN(len(c.Endpoints))].Weight = float64(r.rng.IntN(100)) / 10
	return &c
}

// apply publishes a table, fetches what is not held, and puts it in force.
func (r *run) apply(s *fleettable.Table) error {
	m, objects, err := manifest.Pack(s)
	if err != nil {
		return err
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r.result.Manifest, r.result.Table = len(data), 0
	r.result.Parts += int64(len(data))
	groups := make(map[string]bool)
	for _, digest := range m.Groups {
		groups[digest] = true
	}
	for digest, object := range objects {
		size := int64(len(object))
		r.result.Table += size
		if !groups[digest] {
			r.result.Flat += int64(len(digest) + len(`"",`)) // its name in a flat manifest
		}
		if _, held := r.objects.Get(digest); held {
			r.result.Saved += size
			continue
		}
		r.result.Objects++
		r.result.Parts += size
		if !groups[digest] {
			r.result.Flat += size
		}
		if err := r.objects.Put(digest, object); err != nil {
			return err
		}
	}
	r.result.Whole += r.result.Table
	r.result.Values = int((r.result.Table + configclient.MaxValueBytes - 1) / configclient.MaxValueBytes)
	return r.join(data)
}

func (r *run) join(data []byte) error {
	start := time.Now()
	m, err := manifest.Parse(data)
	if err != nil {
		return err
	}
	next, err := m.Join(r.objects, r.table)
	if err != nil {
		return fmt.Errorf("joining table: %w", err)
	}
	parts, err := m.Parts(r.objects)
	if err != nil {
		return err
	}
	r.objects.Retain(time.Now(), m.Groups, parts)
	r.table = next
	r.result.CPU += time.Since(start).Seconds()
	return nil
}
