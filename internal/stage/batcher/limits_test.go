package batcher_test

// This file tests stage work for endpoints that limit the calls of all instances.

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// TestLimitedEndpointGetsFewCalls guards against calls beyond the limit of an endpoint, those
// that free results among them, and against jobs that fail since it takes few: another one does
// most of the work. For 20 s one job comes each 50 ms.
func TestLimitedEndpointGetsFewCalls(t *testing.T) {
	withFixture(t, func(g *WithT, f *fixture) {
		const rate, length = 2.0, 20 * time.Second
		start := time.Now()
		f.limits.Record(ratelimit.Claim{Endpoint: "a@0", Limited: true, Rate: rate, At: start}, start)
		var mu sync.Mutex
		calls := 0
		f.executor.intercept = func(e *registry.Endpoint, _ []executor.Item) ([]executor.Outcome, error, bool) {
			if e.ID == "a" {
				mu.Lock()
				calls++
				mu.Unlock()
			}
			return nil, nil, false
		}
		var all sync.WaitGroup
		done, tried := 0, 0
		for range int(length / (50 * time.Millisecond)) {
			j := f.job(2, 1, 3*time.Second)
			all.Go(func() {
				_, err := f.Prepare(context.Background(), j)
				mu.Lock()
				tried++
				if err == nil {
					done++
				}
				mu.Unlock()
				f.Release(j.ID)
			})
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		mu.Lock()
		defer mu.Unlock()
		g.Expect(calls).To(BeNumerically(">", rate*length.Seconds()/4), "its limit is used")
		g.Expect(calls).To(BeNumerically("<=", rate*length.Seconds()+2))
		g.Expect(done).To(Equal(tried))
	})
}

// prepareEvenly prepares n jobs, 20 a second. It returns how many were done, and how many failed
// after they had been admitted.
func (f *fixture) prepareEvenly(n int, next func() *job.Job) (done, failedLate int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range n {
		j := next()
		all.Go(func() {
			begin := time.Now()
			_, err := f.Prepare(context.Background(), j)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				done++
			} else if time.Since(begin) > 100*time.Millisecond {
				failedLate++
			}
			f.Release(j.ID)
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	return done, failedLate
}

// TestLimitsOfAllEndpointsBoundAdmission guards against jobs that are admitted and can't be
// done in time, as all endpoints of a stage limit their calls.
func TestLimitsOfAllEndpointsBoundAdmission(t *testing.T) {
	withFixture(t, func(g *WithT, f *fixture) {
		start := time.Now()
		for _, name := range []string{"a@0", "b@0"} {
			f.limits.Record(ratelimit.Claim{Endpoint: name, Limited: true, Rate: 1, At: start}, start)
		}
		// Jobs of 4 pieces, in calls of 8.
		admitted, failedLate := f.prepareEvenly(200, func() *job.Job { return f.job(4, 1, 2*time.Second) })
		g.Expect(admitted).To(BeNumerically(">", 10))
		g.Expect(failedLate).To(BeNumerically("<=", admitted/10))
	})
}

// TestLimitedEndpointsAreNotUsedUpAtOnce guards against jobs that are admitted and wait in vain until
// their deadline: all endpoints of a stage have a low limit, learned at the same moment, and small calls
// to all of them at once leave none for the jobs of the next seconds. Jobs come evenly.
func TestLimitedEndpointsAreNotUsedUpAtOnce(t *testing.T) {
	withFixture(t, func(g *WithT, f *fixture) {
		const numEndpoints, rate = 12, 0.5
		endpoints := []*registry.Endpoint{{ID: "c", Service: "second", Address: "c:1", State: registry.Ready}}
		for i := range numEndpoints {
			e := &registry.Endpoint{ID: fmt.Sprint("f", i), Service: "first", Address: fmt.Sprintf("f%d:1", i), State: registry.Ready}
			endpoints = append(endpoints, e)
			f.limits.Record(ratelimit.Claim{Endpoint: e.Name(), Limited: true, Rate: rate, At: time.Now()}, time.Now())
		}
		f.index.Store(registry.NewIndex(endpoints))
		time.Sleep(10 * time.Second) // until all of them take a call
		const tried = 600
		done, failedLate := f.prepareEvenly(tried, func() *job.Job {
			j := f.job(1, 1, time.Second)
			j.Deadline = time.Now().Add(2500 * time.Millisecond)
			return j
		})
		g.Expect(failedLate).To(BeNumerically("<=", tried/50), "%d of %d done", done, tried)
		g.Expect(done).To(BeNumerically(">=", tried*9/10))
	})
}
