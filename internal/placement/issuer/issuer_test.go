package issuer_test

// This file tests that engines of both kinds end up with what the table wants.

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

// RoundTrip answers a request without a connection.
func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w.Result(), nil
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

// table returns a table with a single engine.
func table(t *testing.T, version uint64, change func(*sheet.Sheet)) *sheet.Sheet {
	t.Helper()
	s, err := rows.Table(rows.Options{Endpoints: 1, Centres: 1, Models: 2})
	if err != nil {
		t.Fatal(err)
	}
	s.Version = version
	s.Policy.Seats = 1
	if change != nil {
		change(s)
	}
	if err := s.Freeze(); err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs the issuer of a seat until the test ends.
func start(t *testing.T, s *sheet.Sheet, seat int, f *fake, leaving map[string]bool) *holder.Holder {
	t.Helper()
	tables := holder.New()
	tables.Raise(s)
	client, closeClient := engine.New(f)
	i := issuer.New(tables, seat, func() map[string]bool { return leaving }, client, logr.Discard())
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

// Waits that bound what the issuer does.
const (
	slots  = 3 * 122 * time.Second // until the only seat's slot has room for an order
	checks = 31 * time.Second      // between two checks
)

func TestEngineIsOrderedOnce(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fake{fenced: fenced}
			s := table(t, 3, nil)
			start(t, s, 0, f, nil)
			start(t, s, 0, f, nil) // two that both believe to be the issuer
			time.Sleep(slots)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
			g.Expect(f.state().Role).To(Equal("generate"))
			g.Expect(f.loads).To(Equal(1))
			g.Expect(f.orders).To(BeNumerically("<=", 2))
		})
	}
}

// TestStrayOldOrderIsPutRight lets an engine that ignores fencing numbers follow
// an order of an older table after ours, at once and much later.
func TestStrayOldOrderIsPutRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fake{}
		start(t, table(t, 3, nil), 0, f, nil)
		for _, later := range []time.Duration{0, time.Second, time.Hour} {
			time.Sleep(slots + later)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
			f.set(wire{Epoch: 1, Version: 2, Role: "generate", Models: []map[string]any{{"name": "model-01", "version": "1"}}})
			time.Sleep(checks + slots)
			g.Expect(f.state().Version).To(Equal(uint64(3)))
		}
	})
}

func TestEngineOfANewerTableIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{held: wire{Epoch: 2, Version: 1, Role: "encode"}}
		start(t, table(t, 9, nil), 0, f, nil)
		time.Sleep(time.Hour)
		NewWithT(t).Expect(f.orders).To(BeZero())
	})
}

func TestNoOrderWhereNoWorkGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drained, leaving, unseated := &fake{}, &fake{}, &fake{}
		start(t, table(t, 3, func(s *sheet.Sheet) { s.Endpoints[0].Weight = 0 }), 0, drained, nil)
		start(t, table(t, 3, nil), 0, leaving, map[string]bool{"llm-0000": true})
		start(t, table(t, 3, nil), -1, unseated, nil)
		time.Sleep(time.Hour)
		NewWithT(t).Expect(drained.orders + leaving.orders + unseated.orders).To(BeZero())
	})
}

// TestDeputyOrdersWhenTheFirstSeatIsDead runs each of three seats alone.
func TestDeputyOrdersWhenTheFirstSeatIsDead(t *testing.T) {
	s := table(t, 3, func(s *sheet.Sheet) { s.Policy.Seats = 3 })
	for seat := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := &fake{}
			start(t, s, seat, f, nil)
			time.Sleep(4*time.Minute + 3*slots)
			NewWithT(t).Expect(f.state().Version).To(Equal(uint64(3)), "seat %d", seat)
		})
	}
}

func TestChangedRowIsOrderedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fake{fenced: true}
		s := table(t, 3, nil)
		tables := start(t, s, 0, f, nil)
		time.Sleep(slots)
		g.Expect(f.state().Version).To(Equal(uint64(3)))
		next := *s
		next.Version = 4
		next.Endpoints = append(next.Endpoints[:0:0], next.Endpoints...)
		next.Endpoints[0].Models = []string{"model-01"}
		g.Expect(next.Freeze()).To(Succeed())
		tables.Raise(&next)
		time.Sleep(slots)
		g.Expect(f.state().Version).To(Equal(uint64(4)))
		g.Expect(f.state().Models).To(Equal([]map[string]any{{"name": "model-01", "version": "1"}}))
	})
}

// TestWatchingCostsABoundedNumberOfReads holds an issuer of the full table to
// its share of the control budget while every engine differs and none may load.
func TestWatchingCostsABoundedNumberOfReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, err := rows.Table(rows.Options{Endpoints: 1000, Centres: 1, Models: 2})
		g.Expect(err).NotTo(HaveOccurred())
		s.Policy.Seats, s.Policy.Away = 1, 0
		g.Expect(s.Freeze()).To(Succeed())
		reads := &counter{}
		tables := holder.New()
		tables.Raise(s)
		client, closeClient := engine.New(reads)
		defer closeClient()
		i := issuer.New(tables, 0, func() map[string]bool { return nil }, client, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		i.Run(ctx)
		const bytesOfARead, budget = 1000, 22 << 10 / 4 // a quarter of 22 KB/s
		g.Expect(reads.n.Load()).To(BeNumerically(">", 60))
		g.Expect(reads.n.Load() * bytesOfARead / 60).To(BeNumerically("<", budget))
	})
}

// counter answers every call as an engine that holds nothing.
type counter struct{ n atomic.Int64 }

// RoundTrip counts a call.
func (c *counter) RoundTrip(*http.Request) (*http.Response, error) {
	c.n.Add(1)
	w := httptest.NewRecorder()
	json.NewEncoder(w).Encode(wire{})
	return w.Result(), nil
}
