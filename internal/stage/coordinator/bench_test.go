package coordinator_test

// This file measures the processor time of an order, without the network.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/command/logger"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cacheaware"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/coordinator"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const ordersPerSecond = 500

// sleepingExecutor executes each call in the same time.
type sleepingExecutor struct{}

func (sleepingExecutor) Execute(_ context.Context, _ *registry.Endpoint, items []executor.Item) (executor.Response, error) {
	time.Sleep(100 * time.Millisecond)
	r := executor.Response{Outcomes: make([]executor.Outcome, len(items))}
	for i := range items {
		r.Outcomes[i].Handle = "handle"
	}
	return r, nil
}

func (sleepingExecutor) Free(context.Context, *registry.Endpoint, []string) error { return nil }

var benchStages = []catalog.Stage{{Service: "first", Bytes: 8000}, {Service: "second", After: []int{0}, Bytes: 60_000}, {Service: "third", After: []int{1}, Bytes: 6000}}

// newBenchCoordinator returns a coordinator before 120 endpoints of three stages and 90 engines.
func newBenchCoordinator() *coordinator.Coordinator {
	cat := &catalog.Catalog{Services: map[string]*catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 24, Tokens: 500_000}}}}
	var index *registry.Index
	known := registry.New(time.Second, func(all []*registry.Endpoint) { index = registry.NewIndex(all) })
	var all []registry.Endpoint
	for service, n := range map[string]int{"first": 36, "second": 42, "third": 42, "llm": 90} {
		if service != "llm" {
			cat.Services[service] = &catalog.Service{Name: service, Batch: &catalog.Batch{MaxPieces: 64, MaxCalls: 4, CallOverhead: 100 * time.Millisecond, ResultBytes: 1 << 40, ResultRetention: time.Second}}
		}
		for i := range n {
			all = append(all, registry.Endpoint{ID: fmt.Sprint(service, i), StartTime: 1_764_970_000_000, Service: service, State: registry.Ready, Slots: 24, Centre: fmt.Sprint("c", i%3)})
		}
	}
	known.Sync(all, time.Now())
	catalogNow, endpointsNow := func() *catalog.Catalog { return cat }, func() *registry.Index { return index }
	log := logger.New(io.Discard, "info")
	b := batcher.New(catalogNow, endpointsNow, sleepingExecutor{}, cooldown.New(), ratelimit.New(), brittle.New(), quarantine.New(), log)
	return coordinator.New(b, cacheaware.New(), quarantine.New(), ratelimit.New(), cooldown.New(), pace.New(), func([]pace.Change) {}, catalogNow, endpointsNow, log)
}

func newBenchOrder(i int) coordinator.Order {
	now, id := time.Now(), fmt.Sprint(i)
	return coordinator.Order{
		ID: id, Request: id, Service: "llm", Fingerprint: uint64(i), Goal: now.Add(1500 * time.Millisecond), Deadline: now.Add(6 * time.Second),
		Prompt: []request.PromptPart{{ID: fmt.Sprint("shared", i%10), Tokens: 341}, {ID: fmt.Sprint("group", i%1000), Tokens: 227}, {ID: id, Tokens: 1800}},
		Job:    job.New(id, id, id, benchStages, []int{1, 6, 10}, i%3, now.Add(1500*time.Millisecond), now.Add(6*time.Second)),
	}
}

// BenchmarkOrders reports the processor time of an order of three stages at a steady rate.
func BenchmarkOrders(b *testing.B) {
	c := newBenchCoordinator()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go c.Run(ctx)
	var wg sync.WaitGroup
	var refused atomic.Int64
	before, start := processorTime(b), time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / ordersPerSecond)))
		wg.Go(func() {
			o := newBenchOrder(i)
			if _, err := c.Prepare(ctx, o); err != nil {
				refused.Add(1)
			}
			c.Started([]string{o.ID})
			c.Ended([]string{o.ID})
		})
	}
	wg.Wait()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/order")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/order")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
