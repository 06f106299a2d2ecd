// Package tabletraffic measures how many bytes one instance receives in a day of table
// changes. It compares three ways to distribute the table: the whole table at each
// change, content-addressed parts that one manifest lists, and parts that are listed by
// content-addressed groups. It runs in memory without network I/O, and also measures the
// CPU time that it takes to put the changes in force.
package tabletraffic

// This file defines Options, Result and Run.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

const day = 24 * time.Hour

// accountShare is the share of the changes that change an account row. The others change
// an endpoint row.
const accountShare = 0.3

// Options defines a run.
type Options struct {
	Rows    tablegen.Options // size of the table
	Changes int              // number of changes in the day
	Seed    uint64           // of the changed rows and their values
}

// Result is what a day of changes costs one instance. Byte counts are totals of the day
// unless stated otherwise.
type Result struct {
	Changes           int     `json:"changes"`
	FullTableBytes    int64   `json:"whole"`    // received if the whole table is read at each change
	PlatformValues    int     `json:"values"`   // platform values that the whole table occupies, given their size limit
	FlatManifestBytes int64   `json:"flat"`     // received if one manifest lists the digest of every part
	GroupedBytes      int64   `json:"parts"`    // received if the manifest lists groups, which list the parts
	HeldBytes         int64   `json:"saved"`    // bytes of changed tables that need not be fetched, as their objects are held already
	ObjectsFetched    int     `json:"objects"`  // number of objects fetched
	TableBytes        int64   `json:"table"`    // size of the newest table
	ManifestBytes     int     `json:"manifest"` // size of the newest manifest
	CPUSeconds        float64 `json:"cpu"`      // processor time that the process used while it put all changes in force
}

// BytesPerSecond converts bytes in a day to bytes a second.
func BytesPerSecond(bytes int64) float64 { return float64(bytes) / day.Seconds() }

// Run applies the changes one after the other, and puts each in force before the next.
// The first fetch of the table is not part of the result.
func Run(o Options) (Result, error) {
	table, err := tablegen.Generate(o.Rows)
	if err != nil {
		return Result{}, err
	}
	r := &run{rng: rand.New(rand.NewPCG(o.Seed, 0)), store: objectstore.New(), result: Result{Changes: o.Changes}}
	if err := r.apply(table); err != nil {
		return Result{}, err
	}
	r.result = Result{Changes: o.Changes}
	for range o.Changes {
		table = r.changeRow(table)
		if err := r.apply(table); err != nil {
			return Result{}, err
		}
	}
	return r.result, nil
}

// run is the state of a run.
type run struct {
	rng    *rand.Rand
	store  *objectstore.Store // objects that the instance holds
	table  *fleettable.Table  // table in force
	result Result
}

// changeRow returns a copy of a table with one row changed.
func (r *run) changeRow(t *fleettable.Table) *fleettable.Table {
	next := *t
	next.Version++
	if r.rng.Float64() < accountShare {
		next.Accounts = append(next.Accounts[:0:0], next.Accounts...)
		next.Accounts[r.rng.IntN(len(next.Accounts))].Rate = float64(1 + r.rng.IntN(1000))
		return &next
	}
	next.Endpoints = append(next.Endpoints[:0:0], next.Endpoints...)
	next.Endpoints[r.rng.IntN(len(next.Endpoints))].Weight = float64(r.rng.IntN(100)) / 10
	return &next
}

// apply publishes a table, fetches the objects that are not held, and puts the table in
// force.
func (r *run) apply(t *fleettable.Table) error {
	m, objects, err := manifest.Pack(t)
	if err != nil {
		return err
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r.result.ManifestBytes, r.result.TableBytes = len(data), 0
	r.result.GroupedBytes += int64(len(data))
	groups := make(map[string]bool)
	for _, digest := range m.Groups {
		groups[digest] = true
	}
	for digest, object := range objects {
		size := int64(len(object))
		r.result.TableBytes += size
		if !groups[digest] {
			r.result.FlatManifestBytes += int64(len(digest) + len(`"",`)) // the digest as listed in a flat manifest
		}
		if _, held := r.store.Get(digest); held {
			r.result.HeldBytes += size
			continue
		}
		r.result.ObjectsFetched++
		r.result.GroupedBytes += size
		if !groups[digest] {
			r.result.FlatManifestBytes += size
		}
		if err := r.store.Put(digest, object); err != nil {
			return err
		}
	}
	r.result.FullTableBytes += r.result.TableBytes
	r.result.PlatformValues = int((r.result.TableBytes + configclient.MaxValueBytes - 1) / configclient.MaxValueBytes)
	return r.activate(data)
}

// activate puts the table of an encoded manifest in force and lets the store drop objects
// that are no longer used.
func (r *run) activate(data []byte) error {
	start, err := processorTime()
	if err != nil {
		return err
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return err
	}
	next, err := m.Join(r.store, r.table)
	if err != nil {
		return fmt.Errorf("joining table: %w", err)
	}
	parts, err := m.Parts(r.store)
	if err != nil {
		return err
	}
	r.store.Retain(time.Now(), m.Groups, parts)
	r.table = next
	end, err := processorTime()
	r.result.CPUSeconds += (end - start).Seconds()
	return err
}

// processorTime returns the processor time that this process has used, in all threads.
func processorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("reading the processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
