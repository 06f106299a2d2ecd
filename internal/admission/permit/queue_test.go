package permit_test

// This file tests in which order requests get the turns that limits allow, and which are
// rejected.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/permit"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
)

// newQueue returns a queue and the limits of a number of endpoints, e0 and so on.
func newQueue(endpoints int, rate float64) (*permit.Queue, *ratelimit.Tracker, []string) {
	limits := ratelimit.New()
	var names []string
	for i := range endpoints {
		names = append(names, fmt.Sprint("e", i))
		limits.Record(ratelimit.Claim{Endpoint: names[i], Limited: true, Rate: rate, At: time.Now()}, time.Now())
	}
	return permit.New(limits, cooldown.New()), limits, names
}

// TestOverloadIsRejectedAtOnce guards against requests that wait for a turn that comes too
// late. For 20 s three times as many requests come as two endpoints with a limit of 5 a
// second take.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q, _, names := newQueue(2, 5)
		var mu sync.Mutex
		taken, rejected, late := 0, 0, 0
		var all sync.WaitGroup
		for range 600 {
			all.Go(func() {
				start := time.Now()
				_, err := q.Take(t.Context(), permit.Request{Service: "s", Endpoints: names, Latest: start.Add(time.Second)})
				mu.Lock()
				defer mu.Unlock()
				var refusal *permit.Refusal
				switch {
				case err == nil:
					taken++
					g.Expect(time.Since(start)).To(BeNumerically("<=", time.Second))
				case errors.As(err, &refusal) && time.Since(start) < 10*time.Millisecond:
					rejected++
					g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				default:
					late++
				}
			})
			time.Sleep(20 * time.Second / 600)
		}
		all.Wait()
		g.Expect(taken).To(BeNumerically("~", 200, 12))
		g.Expect(late).To(BeZero(), "%d taken, %d rejected at once", taken, rejected)
	})
}

// TestUrgentRequestsGoFirst guards against a turn that goes to a less urgent request, or to one
// with more time left.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q, _, names := newQueue(1, 2)
		var mu sync.Mutex
		var order []string
		var all sync.WaitGroup
		for name, r := range map[string]permit.Request{
			"less urgent": {Rank: 1, Latest: time.Now().Add(9 * time.Second)},
			"more time":   {Latest: time.Now().Add(20 * time.Second)},
			"urgent":      {Latest: time.Now().Add(10 * time.Second)},
		} {
			all.Go(func() {
				r.Service, r.Endpoints = "s", names
				_, err := q.Take(t.Context(), r)
				g.Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				order = append(order, name)
			})
		}
		all.Wait()
		g.Expect(order).To(Equal([]string{"urgent", "more time", "less urgent"}))
	})
}

// TestTakeFollowsTheLimits guards against requests that wait although a limit has ended or no
// endpoint is left, and against a turn that is given to a caller that has left.
func TestTakeFollowsTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q, limits, names := newQueue(1, 0)
		start := time.Now()
		r := permit.Request{Service: "s", Endpoints: names}
		_, err := q.Take(t.Context(), r)
		g.Expect(err).To(HaveOccurred(), "it does not wait")
		_, err = q.Take(t.Context(), permit.Request{Service: "s", Latest: start.Add(time.Hour)})
		g.Expect(err).To(HaveOccurred(), "there is no endpoint")
		r.Latest = start.Add(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Take(ctx, r)
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		time.AfterFunc(time.Second, func() { limits.Record(ratelimit.Claim{Endpoint: "e0", At: time.Now()}, time.Now()) })
		name, err := q.Take(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(name).To(Equal("e0"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	})
}

// TestReservationsCount guards against admitting more requests, whose stages run first, than get
// a turn in time.
func TestReservationsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q, _, names := newQueue(1, 2)
		admitted := 0
		var releases []func()
		for range 50 {
			if q.Check(permit.Request{Service: "s", Endpoints: names, Latest: time.Now().Add(3 * time.Second)}) == nil {
				admitted++
				releases = append(releases, q.Reserve("s"))
			}
		}
		g.Expect(admitted).To(BeNumerically("~", 6, 1))
		for _, release := range releases {
			release()
		}
		g.Expect(q.Check(permit.Request{Service: "s", Endpoints: names, Latest: time.Now().Add(time.Second)})).To(BeNil())
	})
}
