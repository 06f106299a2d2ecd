// Package feed brings published tables into force: it follows the platform's
// manifest, hears of newer ones from peers, and fetches the parts it lacks.
package feed

// This file defines Feed and how it follows the platform.

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/peer/roster"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
)

const (
	watchWait  = 30 * time.Second
	retryPause = 500 * time.Millisecond
	pulseEvery = time.Second
)

// Feed keeps the holder's table at the newest manifest that it hears of.
type Feed struct {
	source reader.Source
	mesh   *mesh.Mesh
	roster *roster.Roster
	tables *holder.Holder
	log    logr.Logger

	apply   sync.Mutex // held while a manifest is put in force
	mu      sync.Mutex
	parts   map[string][]byte // the parts of the manifest in force
	current manifest.Manifest
	refusal atomic.Pointer[string] // why the last manifest was refused; nil if it was not
}

// New returns a feed and registers its peer calls.
func New(source reader.Source, m *mesh.Mesh, r *roster.Roster, t *holder.Holder, log logr.Logger) *Feed {
	f := &Feed{source: source, mesh: m, roster: r, tables: t, log: log, parts: make(map[string][]byte)}
	m.Handle(kind.Pulse, f.onPulse)
	m.Handle(kind.Manifest, f.onManifest)
	m.Handle(kind.Part, f.onPart)
	return f
}

// Refusal returns why the last manifest was refused, or "".
func (f *Feed) Refusal() string {
	if r := f.refusal.Load(); r != nil {
		return *r
	}
	return ""
}

// Run follows the platform and the peers until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	go f.pulse(ctx)
	var version uint64
	for ctx.Err() == nil {
		v, changed, err := f.source.Watch(ctx, manifest.Key, version, watchWait)
		if err != nil {
			f.log.V(1).Info("table watch failed", "error", err.Error())
			pause(ctx, retryPause)
			continue
		}
		if !changed {
			continue
		}
		if err := f.offer(ctx, v.Data, f.fromPlatform); err != nil {
			f.log.Error(err, "table refused", "key version", v.Version)
			pause(ctx, retryPause)
			continue
		}
		version = v.Version
	}
}

// fetch returns the content of a part.
type fetch func(ctx context.Context, digest string) ([]byte, error)

// offer puts a manifest in force unless one as new or newer is in force already.
func (f *Feed) offer(ctx context.Context, data []byte, get fetch) error {
	f.apply.Lock()
	defer f.apply.Unlock()
	var m manifest.Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return f.refuse(fmt.Errorf("parsing manifest: %w", err))
	}
	if !m.After(f.tables.Pair()) {
		return nil
	}
	parts, err := f.collect(ctx, m, get)
	if err != nil {
		return fmt.Errorf("fetching table %d.%d: %w", m.Epoch, m.Version, err)
	}
	s, err := m.Join(parts)
	if err != nil {
		return f.refuse(fmt.Errorf("table %d.%d: %w", m.Epoch, m.Version, err))
	}
	f.mu.Lock()
	f.parts, f.current = parts, m
	f.mu.Unlock()
	f.tables.Raise(s)
	f.refusal.Store(nil)
	f.log.Info("table in force", "epoch", m.Epoch, "version", m.Version, "parts", len(parts))
	return nil
}

func (f *Feed) refuse(err error) error {
	text := err.Error()
	f.refusal.Store(&text)
	return err
}

// collect returns all parts of m, fetching those that are not at hand.
func (f *Feed) collect(ctx context.Context, m manifest.Manifest, get fetch) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(m.Parts))
	for _, d := range m.Parts {
		data, err := f.part(ctx, d, get)
		if err != nil {
			return nil, err
		}
		parts[d] = data
	}
	return parts, nil
}

func (f *Feed) part(ctx context.Context, digest string, get fetch) ([]byte, error) {
	f.mu.Lock()
	data, ok := f.parts[digest]
	f.mu.Unlock()
	if ok {
		return data, nil
	}
	data, err := get(ctx, digest)
	if err != nil {
		return nil, err
	}
	if got := manifest.Digest(data); got != digest {
		return nil, fmt.Errorf("fetching part: got digest %s, want %s", got, digest)
	}
	return data, nil
}

func (f *Feed) fromPlatform(ctx context.Context, digest string) ([]byte, error) {
	v, err := f.source.Read(ctx, manifest.PartPrefix+digest)
	return v.Data, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
