package proxy_test

// This file tests the promise that a request did not run.

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// TestNoPromiseAfterARun guards against telling a caller that its request did not run, for a reason that
// came up after it may have run on an endpoint, here or before another instance sent it here.
func TestNoPromiseAfterARun(t *testing.T) {
	inputsGone := respond(409, "Refused: 1\r\n", "")
	for name, c := range map[string]struct {
		scripts []script
		change  func(*request.Request)
	}{
		"inputs can't be prepared again": {[]script{closeConn, inputsGone}, func(*request.Request) {}},
		"stream is not known": {nil, func(r *request.Request) {
			r.Relayed, r.Runs, r.Resumes, r.LastEventID = true, 1, "c0", "3"
		}},
		"time is over": {nil, func(r *request.Request) {
			r.Relayed, r.Runs, r.Deadline = true, 1, time.Now()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, c.scripts...)
			h.registry.Put(registry.Endpoint{ID: "newer", Service: "s", Address: h.listen(t), Centre: "a", Slots: 8, State: registry.Ready, Version: "v2"}, time.Now())
			h.prepare = func(p proxy.PrepareParams) (proxy.Prepared, error) {
				if p.Round > 0 {
					return proxy.Prepared{}, fault.New(code.Overloaded, "no room for the stages")
				}
				return proxy.Prepared{Inputs: []string{"input"}, Started: func() {}, Ended: func() {}}, nil
			}
			req := newRequest(catalog.Stream, 2, true)
			c.change(req)
			err := h.proxy.Serve(t.Context(), req, httptest.NewRecorder())
			h.g.Expect(h.sent()).To(gomega.Equal(len(c.scripts)), "requests at endpoints")
			h.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(class.Unknown), "got %v", err)
		})
	}
}
