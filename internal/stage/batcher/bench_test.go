package batcher_test

// This file measures the processor time of the judgement of a job.

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// shortExecutor ends each call after a time that depends on the endpoint.
type shortExecutor struct{}

func (shortExecutor) Execute(_ context.Context, e *registry.Endpoint, items []executor.Item) (executor.Response, error) {
	time.Sleep(time.Duration(10+len(e.ID)%7) * time.Millisecond)
	r := executor.Response{Outcomes: make([]executor.Outcome, len(items))}
	for i := range items {
		r.Outcomes[i].Handle = "handle"
	}
	return r, nil
}

func (shortExecutor) Free(context.Context, *registry.Endpoint, []string) error { return nil }

// BenchmarkSubmit has jobs of three stages judged, before 40 endpoints for each stage that all were used.
func BenchmarkSubmit(b *testing.B) {
	cat := &catalog.Catalog{Services: make(map[string]*catalog.Service)}
	var index *registry.Index
	known := registry.New(time.Second, func(all []*registry.Endpoint) { index = registry.NewIndex(all) })
	var all []registry.Endpoint
	stages := []catalog.Stage{{Service: "first", Bytes: 8000}, {Service: "second", After: []int{0}, Bytes: 60_000}, {Service: "third", After: []int{1}, Bytes: 6000}}
	for _, s := range stages {
		cat.Services[s.Service] = &catalog.Service{Name: s.Service, Batch: &catalog.Batch{MaxPieces: 64, MaxCalls: 4, CallOverhead: 10 * time.Millisecond, ResultBytes: 1 << 40, ResultRetention: time.Second}}
		for i := range 40 {
			all = append(all, registry.Endpoint{ID: fmt.Sprint(s.Service, i*i*i), StartTime: 1, Service: s.Service, State: registry.Ready, Centre: fmt.Sprint("c", i%3)})
		}
	}
	known.Sync(all, time.Now())
	bt := batcher.New(func() *catalog.Catalog { return cat }, func() *registry.Index { return index }, shortExecutor{}, cooldown.New(), ratelimit.New(), brittle.New(), quarantine.New(), logr.Discard())
	submit := func(id string, pieces []int) {
		now := time.Now()
		if _, err := bt.Submit(job.New(id, id, id, stages, pieces, 0, now.Add(2*time.Second), now.Add(4*time.Second))); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 400 { // so that all endpoints have a slowdown
		submit(fmt.Sprint("warm", i), []int{6, 6, 6})
	}
	time.Sleep(200 * time.Millisecond)
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		submit(id, []int{1, 6, 10})
		bt.Release(id)
	}
}
