package proxy_test

// This file tests that endpoints get no requests after they said that they leave, or
// while they want a pause.

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// TestLeavingEndpointGetsNoMoreRequests guards against requests to an endpoint after it
// said in any response that it leaves: the one in that response, a retry of the same
// request, and later ones.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	for name, response := range map[string]script{
		"answer":          respond(200, "Signed: 1\r\nLeaving: 1\r\n", "body"),
		"refusal":         respond(503, "Refused: 1\r\nLeaving: 1\r\n", ""),
		"error":           respond(500, "Signed: 1\r\nLeaving: 1\r\n", "sorry"),
		"unsigned answer": respond(200, "Leaving: 1\r\n", "body"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, response, okResponse, okResponse)
			h.serveRequest(catalog.Idempotent, 3, false)
			h.g.Expect(h.sent()).To(gomega.Equal(1))
			_, err := h.serveRequest(catalog.Idempotent, 3, false)
			h.g.Expect(h.sent()).To(gomega.Equal(1))
			h.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(class.NotRun))
			h.g.Expect(fault.From(err).RetryAfter).To(gomega.BeNumerically(">", 0))
		})
	}
}

// TestResumedStreamAvoidsLeavingEndpoint guards against resuming a stream at an endpoint
// that said that it leaves: the only one must not get the resumption.
func TestResumedStreamAvoidsLeavingEndpoint(t *testing.T) {
	h := newHarness(t, 1, breakAfterEvent("Leaving: 1\r\n"), streamEvents(1, 3, true))
	h.serveRequest(catalog.Stream, 3, true)
	h.g.Expect(h.sent()).To(gomega.Equal(1))
}

// TestEndpointInPauseGetsNoRequests guards against requests to an endpoint that asked for
// a pause, and against requests that wait for its end: they must be refused at once with
// the time that is left.
func TestEndpointInPauseGetsNoRequests(t *testing.T) {
	h := newHarness(t, 1, respond(503, "Refused: 1\r\nPause: 1m\r\n", ""), okResponse)
	for range 3 {
		start := time.Now()
		_, err := h.serveRequest(catalog.NonIdempotent, 1, false)
		h.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 500*time.Millisecond))
		h.g.Expect(fault.From(err).Code).To(gomega.Equal(code.NoEndpoint))
		h.g.Expect(fault.From(err).RetryAfter).To(gomega.BeNumerically("~", time.Minute, time.Second))
	}
	h.g.Expect(h.sent()).To(gomega.Equal(1))
}

// TestOtherEndpointServesDuringPause guards against refusing a request because one of two
// endpoints asked for a pause.
func TestOtherEndpointServesDuringPause(t *testing.T) {
	h := newHarness(t, 2, respond(503, "Refused: 1\r\nPause: 1m\r\n", ""), okResponse, okResponse, okResponse)
	for range 3 {
		w, err := h.serveRequest(catalog.NonIdempotent, 1, false)
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(w.Code).To(gomega.Equal(200))
	}
	h.g.Expect(h.sent()).To(gomega.Equal(4))
}
