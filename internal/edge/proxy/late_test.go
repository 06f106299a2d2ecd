package proxy_test

// This file tests second copies of responses that arrive when the next response is expected.

import (
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// TestLateRejectionIsNoAnswerToTheNextSend guards against taking a late copy of an endpoint's rejection
// for the answer to a later send of the same request, or of another one with the same id.
func TestLateRejectionIsNoAnswerToTheNextSend(t *testing.T) {
	var rejected net.Conn
	reject := func(w net.Conn, r *http.Request) {
		rejected = w
		refusal(w, r)
	}
	answer := func(w net.Conn, r *http.Request) {
		if w == rejected {
			refusal(w, r) // the late copy
		}
		okResponse(w, r)
	}
	for name, c := range map[string]struct {
		scripts []script
		calls   int // of the caller, with one id
	}{
		"sent again":      {[]script{reject, answer, okResponse}, 1},
		"id used again":   {[]script{reject, reject, reject, reject, answer, okResponse}, 2},
		"id used further": {[]script{okResponse, reject, answer, okResponse}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, c.scripts...)
			for call := range c.calls {
				w, err := h.serveRequest(catalog.NonIdempotent, 1, false)
				if call < c.calls-1 {
					continue
				}
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
				h.g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
			}
			h.g.Expect(h.sent()).To(gomega.Equal(len(c.scripts)-1), "requests at the endpoint")
		})
	}
}
