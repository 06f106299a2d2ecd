package proxy_test

// This file tests requests that are in flight while their instance stops.

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

const (
	enoughTime = 5 * time.Second        // left to the instance, for a request to be sent and answered
	littleTime = 100 * time.Millisecond // too little for an answer
)

// TestStopEndsWhatWaits guards against requests that get no answer, or a false one, because their instance
// stops while they wait.
func TestStopEndsWhatWaits(t *testing.T) {
	held := make(chan struct{}) // ends the scripts that hold an answer
	t.Cleanup(func() { close(held) })
	hold := func(net.Conn, *http.Request) { <-held }
	limited := respond(200, "Signed: 1\r\nLimit: 1\r\n", "body")
	for name, c := range map[string]struct {
		kind    catalog.Kind
		scripts []script
		first   bool // another request is served before, by the first script
		waits   bool // for its stages or for a permit
		want    code.Code
	}{
		"for its stages":                     {kind: catalog.Stream, waits: true, want: code.NotReady},
		"for a permit":                       {kind: catalog.Idempotent, scripts: []script{limited}, first: true, waits: true, want: code.NotReady},
		"for a whole answer":                 {kind: catalog.NonIdempotent, scripts: []script{hold}, want: code.AnswerLost},
		"for an answer that may be repeated": {kind: catalog.Idempotent, scripts: []script{hold}, want: code.AnswerLost},
		"for the first event":                {kind: catalog.Stream, scripts: []script{hold}, want: code.AnswerLost},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, c.scripts...)
			if c.first {
				h.serveRequest(catalog.Idempotent, 1, false)
			}
			before := h.sent()
			if c.waits {
				h.wait = func(ctx context.Context) error {
					<-ctx.Done()
					return ctx.Err()
				}
			}
			ended := make(chan error, 1)
			go func() {
				req := newRequest(c.kind, 1, false)
				req.Goal = req.Deadline
				ended <- h.proxy.Serve(context.Background(), req, httptest.NewRecorder())
			}()
			h.shutdown.Advance(enoughTime)
			h.g.Consistently(ended, 300*time.Millisecond).ShouldNot(gomega.Receive(), "there is time left")
			h.shutdown.Advance(littleTime)
			var err error
			h.g.Eventually(ended, time.Second).Should(gomega.Receive(&err))
			f := fault.From(err)
			h.g.Expect(f.Code).To(gomega.Equal(c.want), "%v", err)
			if c.want != code.AnswerLost {
				h.g.Expect(h.sent()).To(gomega.Equal(before))
				h.g.Expect(f.RetryAfter).To(gomega.BeNumerically(">", 0))
			}
		})
	}
}

// TestStopEndsWhatWaitsForAnEndpoint guards against requests that get no answer, or a false one, because
// their instance stops while all endpoints are at their limits.
func TestStopEndsWhatWaitsForAnEndpoint(t *testing.T) {
	const requests = 14
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	scripts := make([]script, requests)
	for i := range scripts {
		scripts[i] = func(net.Conn, *http.Request) { <-held }
	}
	h := newHarness(t, 1, scripts...)
	ended := make(chan error, requests)
	for range requests {
		go func() {
			req := newRequest(catalog.NonIdempotent, 1, false)
			req.Goal = req.Deadline
			ended <- h.proxy.Serve(context.Background(), req, httptest.NewRecorder())
		}()
	}
	h.g.Consistently(ended, 300*time.Millisecond).ShouldNot(gomega.Receive())
	h.shutdown.Advance(littleTime)
	unknown := 0
	for range requests {
		var err error
		h.g.Eventually(ended, time.Second).Should(gomega.Receive(&err))
		if f := fault.From(err); f.Code == code.AnswerLost {
			unknown++
		} else {
			h.g.Expect(f.Code).To(gomega.BeElementOf(code.Overloaded, code.NotReady), "%v", err)
			h.g.Expect(f.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
	}
	h.g.Expect(unknown).To(gomega.Equal(h.sent()))
	h.g.Expect(unknown).To(gomega.BeNumerically("<", requests), "some wait")
}

// TestStopSendsNothingTooLate guards against requests that are sent, for the first time or once more, when
// their instance has no time left for the answer.
func TestStopSendsNothingTooLate(t *testing.T) {
	var h *harness
	h = newHarness(t, 2, func(w net.Conn, r *http.Request) {
		h.shutdown.Advance(littleTime)
		respond(503, "Refused: 1\r\n", "")(w, r)
	})
	h.shutdown.Advance(enoughTime)
	for range 2 {
		_, err := h.serveRequest(catalog.Idempotent, 3, false)
		h.g.Expect(fault.From(err).Code).To(gomega.BeElementOf(code.NotReady, code.AnswerLost), "%v", err)
		h.g.Expect(h.sent()).To(gomega.Equal(1))
	}
	_, err := h.serveRequest(catalog.Stream, 3, false)
	h.g.Expect(fault.From(err).Code).To(gomega.Equal(code.NotReady))
	h.g.Expect(h.sent()).To(gomega.Equal(1))
}

// TestStopLetsStreamsRun guards against streams that are broken before the instance ends, although they
// have begun and can have no other answer.
func TestStopLetsStreamsRun(t *testing.T) {
	var h *harness
	h = newHarness(t, 1, func(w net.Conn, r *http.Request) {
		streamEvents(0, 2, false)(keptOpen{w}, r)
		time.Sleep(100 * time.Millisecond)
		h.shutdown.Advance(littleTime)
		time.Sleep(100 * time.Millisecond)
		if _, err := w.Write([]byte("f\r\nid: 3\ndata: x\n\n\r\n0\r\n\r\n")); err != nil {
			t.Error(err)
		}
	})
	w, err := h.serveRequest(catalog.Stream, 1, false)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(countEvents(w)).To(gomega.Equal(4))
}

// keptOpen is a connection that its script does not close.
type keptOpen struct{ net.Conn }

func (keptOpen) Close() error { return nil }

// TestStopLimitsTheTimeOfRelays guards against requests that wait at another instance until this one has
// ended: it is told to end them before.
func TestStopLimitsTheTimeOfRelays(t *testing.T) {
	h := newHarness(t, 2, answer(code.NoTime))
	h.cutOff(t, 1)
	h.shutdown.Advance(2 * time.Second)
	_, err := h.serveRequest(catalog.NonIdempotent, 1, false)
	f := fault.From(err)
	h.g.Expect(f.Code).To(gomega.Equal(code.NoTime), "%v", err)
	h.g.Expect(f.RetryAfter).To(gomega.BeNumerically(">", 0))
	left, err := strconv.Atoi(h.requests[0].Header.Get("Left"))
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(left).To(gomega.BeNumerically("~", 1500, 200), "the request has 3 s")
}
