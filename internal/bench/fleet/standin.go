package fleet

// This file starts the stand-ins for the endpoints of the table.

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/standin/cache"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/standin/service"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// Timing is the service-time model of the stand-ins.
type Timing struct {
	Pool          time.Duration // a call to a pool
	Service       time.Duration // a call to a plain service
	FirstToken    time.Duration // time to the first token with an empty prompt
	PromptToken   time.Duration // added for each prompt token that is not cached
	TokenInterval time.Duration // each further token, with one stream in the batch
	BatchOverhead float64       // fraction of TokenInterval that each other stream in the batch adds
	ReportLag     time.Duration // age of load reports and cache events
	LoseEvery     int           // every LoseEvery-th cache event is lost; 0 loses none
	CacheBlocks   int           // size of each engine's prefix cache, in blocks
}

// DefaultTiming returns the service-time model of the demo, with calls of a few
// milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Pool: 4 * time.Millisecond, Service: 3 * time.Millisecond,
		FirstToken: 15 * time.Millisecond, PromptToken: 50 * time.Microsecond,
		TokenInterval: 3 * time.Millisecond, BatchOverhead: 0.02,
		ReportLag: 200 * time.Millisecond, LoseEvery: 10, CacheBlocks: 2000,
	}
}

// Standin is the stand-in for one endpoint.
type Standin struct {
	Endpoint endpoint.Endpoint
	Injector *faultinject.Injector // faults to inject

	handler http.Handler
	mu      sync.Mutex
	server  *http.Server
}

// Kill closes the stand-in's listener and connections.
func (s *Standin) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		s.server.Close()
		s.server = nil
	}
}

// Revive listens on the stand-in's address again after Kill.
func (s *Standin) Revive() error {
	l, err := net.Listen("tcp", s.Endpoint.Address)
	if err != nil {
		return fmt.Errorf("reviving endpoint %s: %w", s.Endpoint.Name, err)
	}
	s.serve(l)
	return nil
}

func (s *Standin) serve(l net.Listener) {
	server := &http.Server{Handler: s.handler, ErrorLog: discard()}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go server.Serve(l)
}

func (f *Fleet) startEndpoint(e *endpoint.Endpoint) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("starting endpoint %s: %w", e.Name, err)
	}
	e.Address = l.Addr().String()
	s := &Standin{Endpoint: *e, Injector: f.options.Injector}
	if s.Injector == nil {
		s.Injector = faultinject.New()
	}
	s.handler = s.Injector.Wrap(e.Name, f.delayed(e.Centre, f.handlerOf(e)))
	s.serve(l)
	f.Standins[e.Name] = s
	f.closers = append(f.closers, s.Kill)
	return nil
}

// delayed adds the round-trip time between data centres. A stand-in cannot see
// which daemon a call comes from, so each call is delayed by the mean over all
// daemons.
func (f *Fleet) delayed(centre string, h http.Handler) http.Handler {
	var sum time.Duration
	c := f.Table.Centre(centre)
	for i := range f.options.Daemons {
		sum += 2 * c.OneWayDelay[f.centreOf(i)].Duration()
	}
	mean := sum / time.Duration(max(1, f.options.Daemons))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if mean > 0 {
			pause.For(r.Context(), mean)
		}
		h.ServeHTTP(w, r)
	})
}

func (f *Fleet) handlerOf(e *endpoint.Endpoint) http.Handler {
	t := f.options.Timing
	switch e.Kind {
	case endpoint.Engine:
		sizes := make(map[string]int64)
		for _, m := range f.Table.Models {
			sizes[m.Name] = m.Size
		}
		return engine.New(engine.Options{
			Name: e.Name, Slots: e.Limit, FirstToken: t.FirstToken, PromptToken: t.PromptToken, TokenInterval: t.TokenInterval, BatchOverhead: t.BatchOverhead,
			ReportLag: t.ReportLag, Cache: cache.Options{Blocks: t.CacheBlocks, EventLag: t.ReportLag, LoseEvery: t.LoseEvery},
			Models: e.Models, ModelBytes: sizes, Fenced: e.Fenced, Weights: f.weights,
		}, f.Ledger)
	case endpoint.Pool:
		return pool.New(pool.Options{Name: e.Name, Slots: e.Limit, ServiceTime: t.Pool, ReportLag: t.ReportLag}, f.Ledger)
	case endpoint.Service:
		responses := f.responseCaches[e.Role]
		if responses == nil {
			responses = service.NewResponseCache()
			f.responseCaches[e.Role] = responses
		}
		return service.New(service.Options{
			Name: e.Name, Slots: e.Limit, ServiceTime: t.Service, ReportLag: t.ReportLag, Deduplicate: e.SupportsIdempotencyKeys,
		}, f.Ledger, responses)
	default:
		panic(fmt.Sprintf("fleet: got endpoint kind %q, want one that a frozen table holds", e.Kind))
	}
}
