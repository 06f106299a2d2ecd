package reconciler_test

// This file tests that engines, with and without a check of fencing numbers, get the
// models that the table assigns to them.

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/placement/engineclient"
	"github.com/jacinthstile/jacinthstile/internal/placement/reconciler"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

type wireState struct {
	Epoch   uint64           `json:"epoch"`
	Version uint64           `json:"version"`
	Role    string           `json:"role"`
	Models  []map[string]any `json:"models"`
	Loading bool             `json:"loading"`
}

// fakeEngine is a model engine behind an http.RoundTripper.
type fakeEngine struct {
	fenced bool // refuses orders with an older fencing number

	mu     sync.Mutex
	held   wireState
	orders int // number of orders that were followed
	loads  int // number of orders that changed the held models or the role
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodPost {
		var o wireState
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

// RoundTrip serves a request without a network connection.
func (f *fakeEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w.Result(), nil
}

func (f *fakeEngine) state() wireState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *fakeEngine) set(o wireState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = o
}

// newTable returns a table of the given version with one engine, after change was applied
// to it unless change is nil.
func newTable(t *testing.T, version uint64, change func(*fleettable.Table)) *fleettable.Table {
	t.Helper()
	table, err := tablegen.Generate(tablegen.Options{Endpoints: 1, Centres: 1, Models: 2})
	if err != nil {
		t.Fatal(err)
	}
	table.Version = version
	table.Policy.Seats = 1
	if change != nil {
		change(table)
	}
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	return table
}

// start runs the reconciler of an instance until the test ends.
func start(t *testing.T, table *fleettable.Table, seat int, f *fakeEngine, leaving map[string]bool) *holder.Holder {
	t.Helper()
	tables := holder.New()
	tables.Activate(table)
	client, closeClient := engineclient.New(f)
	r := reconciler.New(tables, seat, func() map[string]bool { return leaving }, client, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		closeClient()
	})
	return tables
}

// Upper bounds of waits.
const (
	orderWait     = 3 * 122 * time.Second // until a slot allows an order, with one seat
	checkInterval = 31 * time.Second      // between two checks of an engine
)

// TestEngineIsOrderedOnce guards against engines that load twice because two instances
// both act for the same seat.
func TestEngineIsOrderedOnce(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakeEngine{fenced: fenced}
			s := newTable(t, 3, nil)
			start(t, s, 0, f, nil)
			start(t, s, 0, f, nil) // a second instance that believes it has the same seat
			time.Sleep(orderWait)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
			g.Expect(f.state().Role).To(Equal("generate"))
			g.Expect(f.loads).To(Equal(1))
			g.Expect(f.orders).To(BeNumerically("<=", 2))
		})
	}
}

// TestOrderOfOlderTableIsCorrected guards against an engine that keeps outdated models.
// An engine that does not check fencing numbers follows a delayed order of an older
// table after the current one, soon or up to an hour later. The current order must then
// be sent again.
func TestOrderOfOlderTableIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeEngine{}
		start(t, newTable(t, 3, nil), 0, f, nil)
		for _, later := range []time.Duration{0, time.Second, time.Hour} {
			time.Sleep(orderWait + later)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
			f.set(wireState{Epoch: 1, Version: 2, Role: "generate", Models: []map[string]any{{"name": "model-01", "version": "1"}}})
			time.Sleep(checkInterval + orderWait)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
		}
	})
}

// TestEngineOfANewerTableGetsNoOrder guards against an instance with an old table that
// takes back the orders of instances with a newer one.
func TestEngineOfANewerTableGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: wireState{Epoch: 2, Version: 1, Role: "encode"}}
		start(t, newTable(t, 9, nil), 0, f, nil)
		time.Sleep(time.Hour)
		NewWithT(t).Expect(f.orders).To(BeZero())
	})
}

// TestNoOrderForEnginesWithoutWork guards against loads on an engine whose weight is
// zero or that is leaving, and against orders from an instance without a seat.
func TestNoOrderForEnginesWithoutWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drained, leaving, unseated := &fakeEngine{}, &fakeEngine{}, &fakeEngine{}
		start(t, newTable(t, 3, func(table *fleettable.Table) { table.Endpoints[0].Weight = 0 }), 0, drained, nil)
		start(t, newTable(t, 3, nil), 0, leaving, map[string]bool{"llm-0000": true})
		start(t, newTable(t, 3, nil), -1, unseated, nil)
		time.Sleep(time.Hour)
		NewWithT(t).Expect(drained.orders + leaving.orders + unseated.orders).To(BeZero())
	})
}

// TestAnySeatOrdersWhenTheOthersAreDown guards against an engine that gets no order
// because the instance that ranks first for it is down: each of three seats runs alone.
func TestAnySeatOrdersWhenTheOthersAreDown(t *testing.T) {
	table := newTable(t, 3, func(table *fleettable.Table) { table.Policy.Seats = 3 })
	for seat := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEngine{}
			start(t, table, seat, f, nil)
			time.Sleep(4*time.Minute + 3*orderWait)
			NewWithT(t).Expect(f.state().Version).To(Equal(uint64(3)), "seat %d", seat)
		})
	}
}

// TestChangedRowIsOrdered guards against an engine that keeps its old models after they
// have changed in the table.
func TestChangedRowIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeEngine{fenced: true}
		s := newTable(t, 3, nil)
		tables := start(t, s, 0, f, nil)
		time.Sleep(orderWait)
		g.Expect(f.state().Version).To(Equal(uint64(3)))
		next := *s
		next.Version = 4
		next.Endpoints = append(next.Endpoints[:0:0], next.Endpoints...)
		next.Endpoints[0].Models = []string{"model-01"}
		g.Expect(next.Freeze()).To(Succeed())
		tables.Activate(&next)
		time.Sleep(orderWait)
		g.Expect(f.state().Version).To(Equal(uint64(4)))
		g.Expect(f.state().Models).To(Equal([]map[string]any{{"name": "model-01", "version": "1"}}))
	})
}

// TestRateOfChecksIsBounded guards against a rate of checks that grows with the number
// of engines that differ: 1000 engines differ and none may load, and the reads of their
// states must stay within a quarter of the budget for control traffic, 22 KB/s.
func TestRateOfChecksIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table, err := tablegen.Generate(tablegen.Options{Endpoints: 1000, Centres: 1, Models: 2})
		g.Expect(err).NotTo(HaveOccurred())
		table.Policy.Seats, table.Policy.MaxUnavailable = 1, 0
		g.Expect(table.Freeze()).To(Succeed())
		reads := &counter{}
		tables := holder.New()
		tables.Activate(table)
		client, closeClient := engineclient.New(reads)
		defer closeClient()
		r := reconciler.New(tables, 0, func() map[string]bool { return nil }, client, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.Run(ctx)
		const bytesPerRead, budget = 1000, 22 << 10 / 4 // bytes, bytes per second
		g.Expect(reads.n.Load()).To(BeNumerically(">", 60))
		g.Expect(reads.n.Load() * bytesPerRead / 60).To(BeNumerically("<", budget))
	})
}

// counter is an http.RoundTripper that counts the calls and answers each like an engine
// that holds no model.
type counter struct{ n atomic.Int64 }

func (c *counter) RoundTrip(*http.Request) (*http.Response, error) {
	c.n.Add(1)
	w := httptest.NewRecorder()
	json.NewEncoder(w).Encode(wireState{})
	return w.Result(), nil
}
