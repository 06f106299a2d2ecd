package feed_test

// This file tests what comes into force when the platform gives wrong answers.

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

	"github.com/jacinthstile/jacinthstile/internal/bench/rows"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/table/feed"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// source is a platform whose every answer a test chooses.
type source struct {
	mu      sync.Mutex
	keys    map[string]reader.Value
	changed chan struct{}
	reads   int
}

var _ reader.Source = (*source)(nil)

func newSource() *source {
	return &source{keys: make(map[string]reader.Value), changed: make(chan struct{})}
}

func (s *source) put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = reader.Value{Version: s.keys[key].Version + 1, Data: data}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Read(_ context.Context, key string) (reader.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	v, ok := s.keys[key]
	if !ok {
		return v, errors.New("no such key")
	}
	return v, nil
}

func (s *source) Watch(ctx context.Context, key string, version uint64, _ time.Duration) (reader.Value, bool, error) {
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
			return reader.Value{}, false, ctx.Err()
		}
	}
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// publish puts a table with the given pair and changes. It returns the manifest.
func (s *source) publish(t *testing.T, epoch, version uint64, change func(*sheet.Sheet)) []byte {
	t.Helper()
	table, err := rows.Table(rows.Options{Accounts: 10, Endpoints: 10, Centres: 2, Models: 2})
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

func start(t *testing.T, s *source) (*feed.Feed, *holder.Holder) {
	t.Helper()
	m, closeTransport := transport.New(identity.Identity{Name: "a", Incarnation: 1}, nil, logr.Discard())
	tables := holder.New()
	f := feed.New(s, m, membership.New("a"), tables, 200*time.Millisecond, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		closeTransport()
	})
	return f, tables
}

func pair(h *holder.Holder) func() [2]uint64 {
	return func() [2]uint64 {
		e, v := h.Pair()
		return [2]uint64{e, v}
	}
}

const soon = "5s"

func TestOlderAnswerNeverLowersTheTable(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	old := s.publish(t, 1, 7, nil)
	f, tables := start(t, s)
	g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 7}))
	s.publish(t, 2, 1, nil)
	g.Eventually(pair(tables), soon).Should(Equal([2]uint64{2, 1}))
	s.put(manifest.Key, old)
	g.Eventually(func() int64 { return f.Stats().Stale }, soon).Should(BeNumerically(">", 0))
	g.Expect(pair(tables)()).To(Equal([2]uint64{2, 1}))
}

func TestInvalidTableIsRefusedOnceAndNamed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	s.publish(t, 1, 1, nil)
	f, tables := start(t, s)
	g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 1}))
	s.publish(t, 1, 2, func(table *sheet.Sheet) { table.Endpoints[3].Weight = -1 })
	g.Eventually(f.Refusal, soon).Should(And(
		ContainSubstring("table 1.2"),
		ContainSubstring("endpoint "+"llm-0003, weight: got -1, want 0 or more"),
	))
	reads := s.count()
	g.Consistently(s.count, "600ms").Should(Equal(reads), "a refused table is not fetched again")
	g.Expect(pair(tables)()).To(Equal([2]uint64{1, 1}))
	s.publish(t, 1, 3, nil)
	g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 3}))
	g.Expect(f.Refusal()).To(BeEmpty())
}

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
			f, tables := start(t, s)
			g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 1}))
			s.put(manifest.Key, []byte(data))
			g.Eventually(f.Refusal, soon).ShouldNot(BeEmpty())
			g.Expect(pair(tables)()).To(Equal([2]uint64{1, 1}))
		})
	}
}

// TestMissingOrCorruptPartDelaysTheTable withholds a part, then gives a cut
// one, then the whole one.
func TestMissingOrCorruptPartDelaysTheTable(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	s.publish(t, 1, 1, nil)
	f, tables := start(t, s)
	g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 1}))

	whole := make(map[string][]byte)
	other := newSource()
	data := other.publish(t, 1, 2, func(table *sheet.Sheet) { table.Endpoints[0].Weight = 0 })
	for key, v := range other.keys {
		if _, held := s.keys[key]; !held && key != manifest.Key {
			whole[key] = v.Data
		}
	}
	g.Expect(whole).NotTo(BeEmpty())
	s.put(manifest.Key, data)
	g.Eventually(func() int64 { return f.Stats().Failures }, soon).Should(BeNumerically(">=", 1))
	for key, d := range whole {
		s.put(key, d[:len(d)/2])
	}
	failures := f.Stats().Failures
	g.Eventually(func() int64 { return f.Stats().Failures }, soon).Should(BeNumerically(">", failures))
	g.Expect(pair(tables)()).To(Equal([2]uint64{1, 1}))
	for key, d := range whole {
		s.put(key, d)
	}
	g.Eventually(pair(tables), "8s").Should(Equal([2]uint64{1, 2}))
	g.Expect(tables.Current().Weight("llm-0000")).To(BeZero())
}

// TestTwoTablesUnderOnePairConverge publishes two tables of racing operators in
// both orders: the same one must end in force, and the conflict must show.
func TestTwoTablesUnderOnePairConverge(t *testing.T) {
	t.Parallel()
	var ended []float64
	for _, weights := range [][2]float64{{0.25, 0.75}, {0.75, 0.25}} {
		g := NewWithT(t)
		s := newSource()
		f, tables := start(t, s)
		for _, w := range weights {
			s.publish(t, 1, 2, func(table *sheet.Sheet) { table.Endpoints[0].Weight = w })
			g.Eventually(tables.Current, soon).ShouldNot(BeNil())
		}
		g.Eventually(f.Conflict, soon).Should(ContainSubstring("1.2"))
		time.Sleep(time.Second)
		ended = append(ended, tables.Current().Weight("llm-0000"))
		s.publish(t, 1, 3, nil)
		g.Eventually(pair(tables), soon).Should(Equal([2]uint64{1, 3}))
		g.Eventually(f.Conflict, soon).Should(BeEmpty())
	}
	NewWithT(t).Expect(ended[0]).To(Equal(ended[1]))
}

func TestReadyWaitsForThePlatformOrTheBound(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSource()
	f, _ := start(t, s)
	time.Sleep(250 * time.Millisecond)
	g.Expect(f.Ready()).To(BeFalse(), "the bound is over, but no table is in force")
	s.publish(t, 1, 1, nil)
	g.Eventually(f.Ready, soon).Should(BeTrue())
	platform, _ := f.Heard()
	g.Expect(platform).To(BeTemporally("~", time.Now(), 5*time.Second))
}
