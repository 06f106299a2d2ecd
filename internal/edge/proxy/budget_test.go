package proxy_test

// This file tests that requests which other instances serve stay within the retry budget.

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/retrylimit"
	"github.com/jacinthstile/jacinthstile/internal/base/boottime"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// TestRequestsLostAtACutTakeRoomInTheRetryBudget guards against requests that are sent again without a limit because another
// instance does it: all that were in progress at a cut are lost at once.
func TestRequestsLostAtACutTakeRoomInTheRetryBudget(t *testing.T) {
	const requests, budget = 10, 4
	g := NewWithT(t)
	var inProgress sync.WaitGroup
	inProgress.Add(requests)
	cut := make(chan struct{})
	lost := func(w net.Conn, _ *http.Request) {
		inProgress.Done()
		<-cut
		w.Close()
	}
	later := func(w net.Conn, r *http.Request) {
		if r.Header.Get("Runs") == "" {
			w.Close()
			return
		}
		respond(200, "Signed: 1\r\n", "body")(w, r)
	}
	var scripts []script
	for range requests {
		scripts = append(scripts, lost)
	}
	for range 4 * requests {
		scripts = append(scripts, later)
	}
	h := newHarnessWithBudget(t, retrylimit.New(0, budget, 10*time.Second, boottime.Now, tally.NoopScope), 2, scripts...)
	var served sync.WaitGroup
	for range requests {
		served.Go(func() { h.serveRequest(catalog.Idempotent, 3, false) })
	}
	inProgress.Wait()
	h.cutOff(t, 3)
	close(cut)
	served.Wait()
	g.Expect(h.sent()).To(And(BeNumerically(">", requests), BeNumerically("<=", requests+budget)))
}

// TestRequestIsAFirstAttemptAtOneInstance guards against a retry budget that grows with each instance that a request passes, and
// against instances that retry for others out of a budget without requests: the one that first sends a request to an endpoint
// records it, and the others that it passes are told.
func TestRequestIsAFirstAttemptAtOneInstance(t *testing.T) {
	served, refused := respond(200, "Signed: 1\r\n", "body"), answer(code.NoEndpoint)
	for name, c := range map[string]struct {
		relayed, recorded, cutOff, refuses bool // refuses: the endpoints refuse connections
		scripts                            []script
		used                               int      // retries
		want                               int      // first attempts recorded here
		told                               []string // other instances
	}{
		"of a caller":                        {scripts: []script{served}, want: 1, told: []string{""}},
		"of a cut off instance":              {relayed: true, scripts: []script{served}, want: 1, told: []string{""}},
		"recorded by the instance before":    {relayed: true, recorded: true, scripts: []script{served}, want: 0, told: []string{""}},
		"cut off":                            {cutOff: true, scripts: []script{served}, want: 0, told: []string{"false"}},
		"cut off, served by a third one":     {cutOff: true, scripts: []script{refused, served}, used: 1, want: 0, told: []string{"false", "true"}},
		"not connected, served by other one": {refuses: true, scripts: []script{served}, used: 2, want: 1, told: []string{"true"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const extra = 1
			budget := retrylimit.New(1, extra, 10*time.Second, boottime.Now, tally.NoopScope)
			endpoints := 1
			if c.refuses {
				endpoints = 0
			}
			h := newHarnessWithBudget(t, budget, endpoints, c.scripts...)
			if c.refuses {
				h.registry.Put(registry.Endpoint{ID: "e0", Service: "s", Address: bindPort(t, 0), Centre: "a", Slots: 8, State: registry.Ready}, time.Now())
				h.relays.Learn([]relays.Relay{{Address: h.listen(t), Centre: "a"}}, time.Now())
			}
			if c.cutOff {
				h.cutOff(t, 2)
			}
			req := newRequest(catalog.Idempotent, 1, false)
			req.Relayed, req.Recorded = c.relayed, c.recorded
			g.Expect(h.proxy.Serve(context.Background(), req, httptest.NewRecorder())).To(Succeed())
			left := 0
			for budget.AllowRetry("s") {
				left++
			}
			g.Expect(left + c.used - extra).To(Equal(c.want))
			h.mu.Lock()
			defer h.mu.Unlock()
			g.Expect(h.requests).To(HaveLen(len(c.told)))
			for i, r := range h.requests {
				g.Expect(r.Header.Get("Recorded")).To(Equal(c.told[i]))
			}
		})
	}
}
