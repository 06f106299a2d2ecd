package batcher_test

// This file tests jobs whose pieces crash endpoints.

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
)

// TestDeadlyJobIsGivenUp guards against a job that crashes one endpoint after the other, in calls
// that end with the work of sound jobs: after two crashes its pieces share no call with others, and
// with the third it is given up. Sound jobs are done.
func TestDeadlyJobIsGivenUp(t *testing.T) {
	withFixture(t, func(g *WithT, f *fixture) {
		var mu sync.Mutex
		crashes := 0
		deadly := f.job(1, 1, 2*time.Second)
		deadly.Fingerprint = 7
		f.executor.intercept = func(e *registry.Endpoint, items []executor.Item) ([]executor.Outcome, error, bool) {
			for _, it := range items {
				if it.RequestID == deadly.ID {
					mu.Lock()
					crashes++
					mu.Unlock()
					return nil, failure.New(failure.Crashed, nil, "%s", e.ID), true
				}
			}
			return nil, nil, false
		}
		var all sync.WaitGroup
		done, refused, tried := 0, 0, 0
		for i := range 40 {
			j := f.job(1, 1, 3*time.Second)
			j.Fingerprint = uint64(100 + i)
			all.Go(func() {
				_, err := f.Prepare(context.Background(), j)
				mu.Lock()
				tried++
				switch {
				case err == nil:
					done++
				case fault.From(err).Code == code.NoEndpoint:
					refused++ // both endpoints have crashed a moment ago
				}
				mu.Unlock()
				f.Release(j.ID)
			})
			if i == 10 {
				all.Go(func() {
					_, err := f.Prepare(context.Background(), deadly)
					g.Expect(fault.From(err).Code).To(Equal(code.RequestHeld))
					g.Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
				})
			}
			time.Sleep(40 * time.Millisecond)
		}
		all.Wait()
		g.Expect(crashes).To(Equal(3))
		g.Expect(done+refused).To(Equal(tried), "no admitted job is lost")
		g.Expect(done).To(BeNumerically(">=", tried*3/4))
		suspects := f.quarantine.Suspects()
		g.Expect(suspects).NotTo(BeEmpty())
		g.Expect(suspects[0].Fingerprint).To(BeEquivalentTo(7), "the one with the most crashes")
	})
}
