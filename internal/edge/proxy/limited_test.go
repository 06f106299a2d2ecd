package proxy_test

// This file tests requests to endpoints that limit the requests of all instances.

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// TestLimitedEndpointGetsPermittedRequestsOnly guards against requests that no limit has room
// for, of each kind, first and repeated ones, after an answer of any kind named the limit.
func TestLimitedEndpointGetsPermittedRequestsOnly(t *testing.T) {
	for name, response := range map[string]script{
		"answer":  respond(200, "Signed: 1\r\nLimit: 1\r\n", "body"),
		"refusal": respond(503, "Refused: 1\r\nLimit: 1\r\n", ""),
		"error":   respond(500, "Signed: 1\r\nLimit: 1\r\n", "sorry"),
		"stream":  breakAfterEvent("Limit: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, response, okResponse, streamEvents(0, 2, true))
			h.serveRequest(catalog.Stream, 3, true)
			h.g.Expect(h.sent()).To(gomega.Equal(1), "the request that learns of the limit is not repeated there")
			for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream} {
				_, err := h.serveRequest(kind, 3, false)
				h.g.Expect(h.sent()).To(gomega.Equal(1), "%s", kind)
				h.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(class.NotRun))
			}
			h.permit = func(proxy.PermitParams) (string, error) { return "e0@0", nil }
			h.serveRequest(catalog.NonIdempotent, 3, false)
			h.g.Expect(h.sent()).To(gomega.Equal(2), "a permitted request is sent")
			last := h.permits[len(h.permits)-1]
			h.g.Expect(last.Request.Service).To(gomega.Equal("s"))
		})
	}
}

// TestUnpermittedChoiceIsNotSent guards against a coordinator that chooses an endpoint before
// it knows of the limit.
func TestUnpermittedChoiceIsNotSent(t *testing.T) {
	h := newHarness(t, 1, respond(200, "Signed: 1\r\nLimit: 1\r\n", "body"), streamEvents(0, 2, true))
	h.serveRequest(catalog.Idempotent, 3, false)
	permitted := false
	h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) {
		return proxy.Prepared{PreferredEndpoint: "e0@0", Permitted: permitted, Started: func() {}, Ended: func() {}}, nil
	}
	h.serveRequest(catalog.Stream, 3, false)
	h.g.Expect(h.sent()).To(gomega.Equal(1))
	permitted = true
	w, err := h.serveRequest(catalog.Stream, 3, false)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(w.Code).To(gomega.Equal(200))
}

// TestOtherEndpointsComeFirst guards against refusing requests since one of two endpoints has
// a limit, and against never trying that endpoint again.
func TestOtherEndpointsComeFirst(t *testing.T) {
	scripts := []script{respond(200, "Signed: 1\r\nLimit: 1\r\n", "body")}
	for range 6 {
		scripts = append(scripts, okResponse)
	}
	h := newHarness(t, 2, scripts...)
	start := time.Now()
	for range 5 {
		w, err := h.serveRequest(catalog.NonIdempotent, 1, false)
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(w.Code).To(gomega.Equal(200))
	}
	trials := len(h.permits)
	h.g.Expect(trials).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", 1+time.Since(start).Seconds())), "one trial a second")
	h.g.Expect(h.permits[0].Latest).To(gomega.BeZero(), "a trial does not wait")
	time.Sleep(time.Second)
	h.serveRequest(catalog.NonIdempotent, 1, false)
	h.g.Expect(h.permits).To(gomega.HaveLen(trials + 1))
}

// TestRefusalOfALimitReachesTheCaller guards against a rejection without the time after which
// the limit has room, and against a promise that nothing ran where the first send may have run.
func TestRefusalOfALimitReachesTheCaller(t *testing.T) {
	h := newHarness(t, 1, respond(200, "Signed: 1\r\nLimit: 1\r\n", "body"))
	h.serveRequest(catalog.NonIdempotent, 1, false)
	h.permit = func(proxy.PermitParams) (string, error) {
		f := fault.New(code.Overloaded, "later")
		f.RetryAfter = 7 * time.Second
		return "", f
	}
	_, err := h.serveRequest(catalog.NonIdempotent, 1, false)
	h.g.Expect(fault.From(err).RetryAfter).To(gomega.Equal(7 * time.Second))

	h = newHarness(t, 1, respond(500, "Limit: 1\r\n", "no signature"))
	_, err = h.serveRequest(catalog.Idempotent, 3, false)
	h.g.Expect(h.sent()).To(gomega.Equal(1))
	h.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(class.Unknown))
}
