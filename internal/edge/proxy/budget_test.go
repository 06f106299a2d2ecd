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

// TestRequestIsAFirstAttemptAtOneInstance guards against a retry budget that grows with each instance that a request passes.
func TestRequestIsAFirstAttemptAtOneInstance(t *testing.T) {
	for name, c := range map[string]struct {
		relayed, cutOff bool
		want            int
	}{
		"of a caller":                          {want: 1},
		"of a caller, served by another one":   {cutOff: true, want: 1},
		"received and recorded by another one": {relayed: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			budget := retrylimit.New(1, 0, 10*time.Second, boottime.Now, tally.NoopScope)
			h := newHarnessWithBudget(t, budget, 1, respond(200, "Signed: 1\r\n", "body"))
			if c.cutOff {
				h.cutOff(t, 1)
			}
			req := newRequest(catalog.Idempotent, 1, false)
			req.Relayed = c.relayed
			g.Expect(h.proxy.Serve(context.Background(), req, httptest.NewRecorder())).To(Succeed())
			recorded := 0
			for budget.AllowRetry("s") {
				recorded++
			}
			g.Expect(recorded).To(Equal(c.want))
		})
	}
}
