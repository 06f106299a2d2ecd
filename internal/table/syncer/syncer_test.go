package syncer_test

// This file tests which table is in force when the platform's responses are
// outdated, invalid or incomplete.

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/syncer"
)

// source is a platform whose values are set by the test.
type source struct {
	mu      sync.Mutex
	keys    map[string]configclient.Value
	changed chan struct{}
	reads   int
}

var _ configclient.Source = (*source)(nil)

func newSource() *source {
	return &source{keys: make(map[string]configclient.Value), changed: make(chan struct{})}
}

func (s *source) put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = configclient.Value{Version: s.keys[key].Version + 1, Data: data}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Read(_ context.Context, key string) (configclient.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	v, ok := s.keys[key]
	if !ok {
		return v, errors.New("no such key")
	}
	return v, nil
}

func (s *source) Watch(ctx context.Context, key string, version uint64, _ time.Duration) (configclient.Value, bool, error) {
	for {
		s.mu.Lock()
		v, ok := s.keys[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && v.Version != version {
			return v, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return configclient.Value{}, false, ctx.Err()
		}
	}
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// publish puts a table with the given epoch and version, after change, which may
// be nil, was applied to it. It returns the manifest.
func (s *source) publish(t *testing.T, epoch, version uint64, change func(*fleettable.Table)) []byte {
	t.Helper()
	table, err := tablegen.Generate(tablegen.Options{Accounts: 10, Endpoints: 10, Centres: 2, Models: 2})
	if err != nil {
		t.Fatal(err)
	}
	table.Epoch, table.Version = epoch, version
	if change != nil {
		change(table)
	}
	m, objects, err := manifest.Pack(table)
	if err != nil {
		t.Fatal(err)
	}
	for digest, data := range objects {
		s.put(manifest.PartPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	s.put(manifest.Key, data)
	return data
}

// start runs a Syncer on s until the test ends.
func start(t *testing.T, s *source) (*syncer.Syncer, *holder.Holder) {
	t.Helper()
	tr, closeTransport := transport.New(identity.Identity{Name: "a", Incarnation: 1}, nil, logr.Discard())
	tables := holder.New()
	sync := syncer.New(s, tr, membership.New("a"), tables, 200*time.Millisecond, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sync.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		closeTransport()
	})
	return sync, tables
}

// versionOf returns a function that reads the (epoch, version) in force.
func versionOf(h *holder.Holder) func() [2]uint64 {
	return func() [2]uint64 {
		e, v := h.Version()
		return [2]uint64{e, v}
	}
}

const soon = "5s"

// TestOlderAnswerNeverLowersTheTable guards against going back to an older table
// when the platform returns an outdated manifest, as a lagging replica does.
func TestOlderAnswerNeverLowersTheTable(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	old := s.publish(t, 1, 7, nil)
	sy, tables := start(t, s)
	g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 7}))
	s.publish(t, 2, 1, nil)
	g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{2, 1}))
	s.put(manifest.Key, old)
	g.Eventually(func() int64 { return sy.Stats().Stale }, soon).Should(BeNumerically(">", 0))
	g.Expect(versionOf(tables)()).To(Equal([2]uint64{2, 1}))
}

// TestInvalidTableIsRefusedOnceAndNamed guards against putting a table with an
// invalid row in force, and against fetching such a table again and again. The
// refusal must name the row, and the next valid table must clear it.
func TestInvalidTableIsRefusedOnceAndNamed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	s.publish(t, 1, 1, nil)
	sy, tables := start(t, s)
	g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 1}))
	s.publish(t, 1, 2, func(table *fleettable.Table) { table.Endpoints[3].Weight = -1 })
	g.Eventually(sy.Refusal, soon).Should(And(
		ContainSubstring("table 1.2"),
		ContainSubstring("endpoint "+"llm-0003, weight: got -1, want 0 or more"),
	))
	reads := s.count()
	g.Consistently(s.count, "600ms").Should(Equal(reads), "a refused table is not fetched again")
	g.Expect(versionOf(tables)()).To(Equal([2]uint64{1, 1}))
	s.publish(t, 1, 3, nil)
	g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 3}))
	g.Expect(sy.Refusal()).To(BeEmpty())
}

// TestMalformedManifestIsRefused guards against a manifest that is not valid JSON
// or has invalid fields: it must be reported and leave the table in force.
func TestMalformedManifestIsRefused(t *testing.T) {
	t.Parallel()
	for name, data := range map[string]string{
		"no JSON":    "{",
		"no groups":  `{"epoch":1,"version":9}`,
		"no digest":  `{"epoch":1,"version":9,"groups":["xyz"]}`,
		"no version": `{"epoch":9,"groups":["` + strings.Repeat("0", 64) + `"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSource()
			s.publish(t, 1, 1, nil)
			sy, tables := start(t, s)
			g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 1}))
			s.put(manifest.Key, []byte(data))
			g.Eventually(sy.Refusal, soon).ShouldNot(BeEmpty())
			g.Expect(versionOf(tables)()).To(Equal([2]uint64{1, 1}))
		})
	}
}

// TestMissingOrCorruptPartDelaysTheTable guards against putting a table in force
// before all its parts have arrived intact. The changed objects are first missing,
// then truncated, then complete: only then may the new table come into force.
func TestMissingOrCorruptPartDelaysTheTable(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	s.publish(t, 1, 1, nil)
	sy, tables := start(t, s)
	g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 1}))

	whole := make(map[string][]byte)
	other := newSource()
	data := other.publish(t, 1, 2, func(table *fleettable.Table) { table.Endpoints[0].Weight = 0 })
	for key, v := range other.keys {
		if _, held := s.keys[key]; !held && key != manifest.Key {
			whole[key] = v.Data
		}
	}
	g.Expect(whole).NotTo(BeEmpty())
	s.put(manifest.Key, data)
	g.Eventually(func() int64 { return sy.Stats().Failures }, soon).Should(BeNumerically(">=", 1))
	for key, d := range whole {
		s.put(key, d[:len(d)/2])
	}
	failures := sy.Stats().Failures
	g.Eventually(func() int64 { return sy.Stats().Failures }, soon).Should(BeNumerically(">", failures))
	g.Expect(versionOf(tables)()).To(Equal([2]uint64{1, 1}))
	for key, d := range whole {
		s.put(key, d)
	}
	g.Eventually(versionOf(tables), "8s").Should(Equal([2]uint64{1, 2}))
	g.Expect(tables.Current().Weight("llm-0000")).To(BeZero())
}

// TestTwoTablesUnderOneVersionConverge guards against instances that stay on
// different tables after two operators published under the same (epoch, version).
// It publishes the two tables in both orders: the same one must end in force, and
// the conflict must be reported until a higher version is published.
func TestTwoTablesUnderOneVersionConverge(t *testing.T) {
	t.Parallel()
	var ended []float64
	for _, weights := range [][2]float64{{0.25, 0.75}, {0.75, 0.25}} {
		g := NewWithT(t)
		s := newSource()
		sy, tables := start(t, s)
		for _, w := range weights {
			s.publish(t, 1, 2, func(table *fleettable.Table) { table.Endpoints[0].Weight = w })
			g.Eventually(tables.Current, soon).ShouldNot(BeNil())
		}
		g.Eventually(sy.Conflict, soon).Should(ContainSubstring("1.2"))
		time.Sleep(time.Second)
		ended = append(ended, tables.Current().Weight("llm-0000"))
		s.publish(t, 1, 3, nil)
		g.Eventually(versionOf(tables), soon).Should(Equal([2]uint64{1, 3}))
		g.Eventually(sy.Conflict, soon).Should(BeEmpty())
	}
	NewWithT(t).Expect(ended[0]).To(Equal(ended[1]))
}

// TestReadyWaitsForThePlatformOrTheBound guards against an instance that reports
// itself ready without a table, even after the time limit of the wait.
func TestReadyWaitsForThePlatformOrTheBound(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	sy, _ := start(t, s)
	time.Sleep(250 * time.Millisecond)
	g.Expect(sy.Ready()).To(BeFalse(), "the time limit has passed, but no table is in force")
	s.publish(t, 1, 1, nil)
	g.Eventually(sy.Ready, soon).Should(BeTrue())
	platform, _ := sy.LastContact()
	g.Expect(platform).To(BeTemporally("~", time.Now(), 5*time.Second))
}
