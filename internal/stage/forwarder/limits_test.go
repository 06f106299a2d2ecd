package forwarder_test

// This file tests the limits that endpoints have for all instances.

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
)

// takePermits has all instances ask for permits all the time until the context ends, and
// records when they got one.
func takePermits(ctx context.Context, all []*instance) (taken func() []time.Time) {
	var mu sync.Mutex
	var times []time.Time
	var running sync.WaitGroup
	for _, in := range all {
		running.Go(func() {
			req := &request.Request{ID: in.name, Service: "llm", Route: &catalog.Route{Kind: catalog.Idempotent}}
			for ctx.Err() == nil {
				if _, err := in.Permit(ctx, proxy.PermitParams{Request: req, Endpoints: []string{"e1@0"}}); err == nil {
					mu.Lock()
					times = append(times, time.Now())
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() []time.Time {
		running.Wait()
		return times
	}
}

// TestPermitsOfAllInstances guards against instances that pass a limit together: one of them
// learns it, all ask for permits at once, and the coordinator is lost on the way.
func TestPermitsOfAllInstances(t *testing.T) {
	const rate = 5.0
	g := NewWithT(t)
	c := newCluster()
	all := []*instance{c.start(t, &fakeExecutor{name: "leader"}, 800)}
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		all = append(all, c.start(t, &fakeExecutor{name: name}, 400))
	}
	time.Sleep(2 * time.Second) // until all follow the first one
	now := time.Now()
	all[2].notices.LearnLimits([]ratelimit.Claim{{Endpoint: "e1@0", Limited: true, Rate: rate, At: now}})
	for _, in := range all {
		g.Eventually(func() bool { return in.limits.Limited("e1@0") }, waitLimit).Should(BeTrue(), in.name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	taken := takePermits(ctx, all[1:])
	time.AfterFunc(4*time.Second, all[0].stop)
	times := taken()
	g.Expect(len(times)).To(BeNumerically(">", rate*9/2), "the limit is used")
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Before(from.Add(4 * time.Second)) {
				n++
			}
		}
		g.Expect(float64(n)).To(BeNumerically("<=", 1.5*rate*4+5), "in the 4 s from %s", from.Sub(now))
	}
	all[3].notices.LearnLimits([]ratelimit.Claim{{Endpoint: "e1@0", At: time.Now()}})
	for _, in := range all[1:] {
		g.Eventually(func() bool { return in.limits.Limited("e1@0") }, waitLimit).Should(BeFalse(), in.name)
	}
}

// TestStartingInstanceLearnsLimits guards against an instance that starts after a limit was
// told, and does not know it.
func TestStartingInstanceLearnsLimits(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	first := c.start(t, &fakeExecutor{name: "first"}, 800)
	first.notices.LearnLimits([]ratelimit.Claim{{Endpoint: "e1@0", Limited: true, Rate: 1, At: time.Now()}})
	time.Sleep(4 * time.Second) // longer than changes are told
	late := &instance{fakeExecutor: &fakeExecutor{name: "late"}}
	c.run(t, late, 400)
	g.Eventually(func() bool { return late.limits.Limited("e1@0") }, waitLimit).Should(BeTrue())
}

// TestEndOfALimitIsNotMissed guards against an instance that never uses an endpoint again, as it
// missed the end of the limit which the coordinator knows.
func TestEndOfALimitIsNotMissed(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.start(t, &fakeExecutor{name: "leader"}, 800)
	other := c.start(t, &fakeExecutor{name: "other"}, 400)
	req := &request.Request{ID: "r", Service: "llm", Route: &catalog.Route{Kind: catalog.Idempotent}}
	name, err := other.Permit(t.Context(), proxy.PermitParams{Request: req, Endpoints: []string{"e1@0"}, Latest: time.Now().Add(time.Second)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(name).To(Equal("e1@0"))
}
