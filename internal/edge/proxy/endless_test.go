package proxy_test

// This file tests endpoints that send a body without end.

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// endlessBody returns a script that writes a head without a length, and then the same bytes
// until the caller closes. It closes the channel then.
func endlessBody(status int, headers, rest string, closed chan struct{}) script {
	return func(w net.Conn, r *http.Request) {
		defer close(closed)
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%s\r\n", status, r.Header.Get("Id"), headers)
		for block := bytes.Repeat([]byte(rest), 32<<10/len(rest)); ; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

// TestEndlessBody guards against waiting, until the request's deadline, for the end of bytes
// that are no answer: another endpoint must serve the request, and the connection be closed.
func TestEndlessBody(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    catalog.Kind
		status  int
		headers string
	}{
		{"answer", catalog.Idempotent, http.StatusOK, "Signed: 1\r\n"},
		{"answer without signature", catalog.Idempotent, http.StatusOK, ""},
		{"refusal", catalog.Idempotent, http.StatusServiceUnavailable, "Refused: 1\r\n"},
		{"error", catalog.Idempotent, http.StatusInternalServerError, "Signed: 1\r\n"},
		{"event", catalog.Stream, http.StatusOK, "Signed: 1\r\n"},
		{"chunks", catalog.Stream, http.StatusOK, "Signed: 1\r\nTransfer-Encoding: chunked\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			second := respond(200, "Signed: 1\r\n", "whole")
			if c.kind == catalog.Stream {
				second = streamEvents(0, 2, true)
			}
			h := newHarness(t, 2, endlessBody(c.status, c.headers, "x", closed), second)
			start := time.Now()
			w, err := h.serveRequest(c.kind, 3, true)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(w.Code).To(Equal(http.StatusOK))
			h.g.Expect(w.Body.Len()).To(BeNumerically("<", 100))
			h.g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			h.g.Eventually(closed, 2*time.Second).Should(BeClosed())
		})
	}
}
