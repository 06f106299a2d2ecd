package issuer_test

// This file tests that engines of both kinds end up with what the table wants.

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rows"
	"github.com/jacinthstile/jacinthstile/internal/placement/engine"
	"github.com/jacinthstile/jacinthstile/internal/placement/issuer"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

type wire struct {
	Epoch   uint64           `json:"epoch"`
	Version uint64           `json:"version"`
	Role    string           `json:"role"`
	Models  []map[string]any `json:"models"`
	Loading bool             `json:"loading"`
}

// fake is a model engine that checks fencing numbers or ignores them.
type fake struct {
	fenced bool

	mu     sync.Mutex
	held   wire
	orders int // orders that were followed
	loads  int // orders that changed what is held
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodPost {
		var o wire
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		old := o.Epoch < f.held.Epoch || o.Epoch == f.held.Epoch && o.Version < f.held.Version
		if old && f.fenced {
			w.WriteHeader(http.StatusConflict)
			return
		}
		if o.Role != f.held.Role || !reflect.DeepEqual(o.Models, f.held.Models) {
			f.loads++
		}
		f.held = o
		f.orders++
	}
	json.NewEncoder(w).Encode(f.held)
}

func (f *fake) state() wire {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *fake) set(o wire) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = o
}

// table returns a table whose single engine is the fake.
func table(t *testing.T, f *fake, version uint64, change func(*sheet.Sheet)) *sheet.Sheet {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	s, err := rows.Table(rows.Options{Endpoints: 1, Centres: 1, Models: 2})
	if err != nil {
		t.Fatal(err)
	}
	s.Version = version
	s.Policy.Seats, s.Policy.Store = 1, 0
	s.Endpoints[0].Address = strings.TrimPrefix(server.URL, "http://")
	if change != nil {
		change(s)
	}
	if err := s.Freeze(); err != nil {
		t.Fatal(err)
	}
	return s
}

func start(t *testing.T, s *sheet.Sheet, leaving map[string]bool) *holder.Holder {
	t.Helper()
	tables := holder.New()
	tables.Raise(s)
	client, closeClient := engine.New()
	i := issuer.New(tables, 0, func() map[string]bool { return leaving }, client, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		closeClient()
	})
	return tables
}

const soon = "10s" // a slot's first and last second are not used

func TestEngineIsOrderedOnce(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		g := NewWithT(t)
		f := &fake{fenced: fenced}
		s := table(t, f, 3, nil)
		start(t, s, nil)
		start(t, s, nil) // two that both believe to be the issuer
		g.Eventually(func() uint64 { return f.state().Version }, soon).Should(Equal(uint64(3)))
		time.Sleep(2500 * time.Millisecond)
		f.mu.Lock()
		g.Expect(f.loads).To(Equal(1))
		g.Expect(f.orders).To(BeNumerically("<=", 2))
		g.Expect(f.held.Role).To(Equal("generate"))
		f.mu.Unlock()
	}
}

// TestStrayOldOrderIsPutRight lets an engine that ignores fencing numbers follow
// an order of an older table after ours.
func TestStrayOldOrderIsPutRight(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := &fake{}
	start(t, table(t, f, 3, nil), nil)
	g.Eventually(func() uint64 { return f.state().Version }, soon).Should(Equal(uint64(3)))
	f.set(wire{Epoch: 1, Version: 2, Role: "generate", Models: []map[string]any{{"name": "model-01", "version": "1"}}})
	g.Eventually(func() uint64 { return f.state().Version }, soon).Should(Equal(uint64(3)))
}

func TestEngineOfANewerTableIsLeftAlone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := &fake{held: wire{Epoch: 2, Version: 1, Role: "encode"}}
	start(t, table(t, f, 9, nil), nil)
	g.Consistently(func() string { return f.state().Role }, "3s").Should(Equal("encode"))
}

func TestNoOrderWhereNoWorkGoes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	drained, leaving := &fake{}, &fake{}
	start(t, table(t, drained, 3, func(s *sheet.Sheet) { s.Endpoints[0].Weight = 0 }), nil)
	start(t, table(t, leaving, 3, nil), map[string]bool{"llm-0000": true})
	g.Consistently(func() uint64 { return drained.state().Version + leaving.state().Version }, "3s").Should(BeZero())
}

func TestChangedRowIsOrderedAtOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := &fake{fenced: true}
	s := table(t, f, 3, nil)
	tables := start(t, s, nil)
	g.Eventually(func() uint64 { return f.state().Version }, soon).Should(Equal(uint64(3)))
	next := *s
	next.Version = 4
	next.Endpoints = append(next.Endpoints[:0:0], next.Endpoints...)
	next.Endpoints[0].Models = []string{"model-01"}
	g.Expect(next.Freeze()).To(Succeed())
	tables.Raise(&next)
	g.Eventually(func() uint64 { return f.state().Version }, soon).Should(Equal(uint64(4)))
	g.Expect(f.state().Models).To(Equal([]map[string]any{{"name": "model-01", "version": "1"}}))
}
