package gatherer_test

// This file tests how orders of returning callers are scheduled.

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/prompt"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/gatherer"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// idle is an executor.Executor that is never called.
type idle struct{}

func (idle) Execute(context.Context, *fleet.Endpoint, []executor.Item) (executor.Response, error) {
	return executor.Response{}, errors.New("no endpoint")
}

func (idle) Free(context.Context, *fleet.Endpoint, []string) error { return nil }

// order is an attempt that arrives now, of a caller who waits for so long.
func order(id, own string, waits time.Duration) gatherer.Order {
	now := time.Now()
	stages := []catalog.Stage{{Service: "s", Bytes: 10}}
	return gatherer.Order{
		ID: id, Request: id, Service: "llm", Prompt: []request.PromptPart{{ID: "shared", Tokens: 100}, {ID: own, Tokens: 10}},
		Job: job.New(id, id, "key", stages, []int{1}, 0, now.Add(time.Second), now.Add(waits)),
	}
}

// TestReturnsAreKnown has a caller refused who comes back under another id, and
// one who asks for something else.
func TestReturnsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		var lines []string
		log := funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, args)
		}, funcr.Options{})
		cat := &catalog.Catalog{Services: map[string]*catalog.Service{"s": {Batch: &catalog.Batch{Most: 10, Calls: 1}}}}
		catalogNow := func() *catalog.Catalog { return cat }
		fleetNow := func() *fleet.Index { return fleet.NewIndex(nil) }
		f := batcher.New(catalogNow, fleetNow, idle{}, log)
		x := gatherer.New(f, prompt.New(), catalogNow, fleetNow, log)
		refuse := func(o gatherer.Order) {
			_, err := x.Order(t.Context(), o)
			var bad *fault.Fault
			g.Expect(errors.As(err, &bad)).To(BeTrue(), "got %v", err)
		}
		refuse(order("1", "mine", 3*time.Second))
		time.Sleep(400 * time.Millisecond)
		refuse(order("2", "mine", 2600*time.Millisecond))
		refuse(order("3", "another", 2600*time.Millisecond))
		var back []string
		for _, l := range lines {
			if strings.Contains(l, "caller came back") {
				back = append(back, l)
			}
		}
		g.Expect(back).To(HaveLen(1), "%v", lines)
		g.Expect(back[0]).To(And(ContainSubstring(`"request"="2"`), ContainSubstring(`"waited"="400ms"`)))
	})
}
