package proxy_test

// This file tests responses whose status codes are not valid in HTTP.

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// respondWithStatus returns a script that writes a response with the three digits of a status, and keeps the connection open if
// it has a length.
func respondWithStatus(digits string, framed bool, body string) script {
	return func(w net.Conn, r *http.Request) {
		length := ""
		if framed {
			length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		fmt.Fprintf(w, "HTTP/1.1 %s X\r\nId: %s\r\nSigned: 1\r\n%s\r\n%s", digits, r.Header.Get("Id"), length, body)
		if !framed {
			w.Close()
		}
	}
}

// TestInvalidStatuses guards against a caller that gets a response for an answer whose status no answer can have, and against
// waiting until the deadline for one that would follow it. The request may have run.
func TestInvalidStatuses(t *testing.T) {
	for _, digits := range []string{"000", "042", "099", "101", "600", "999"} {
		for _, framed := range []bool{false, true} {
			for kind, second := range map[catalog.Kind]string{catalog.Idempotent: "whole", catalog.Stream: events(0, 4), catalog.NonIdempotent: ""} {
				for _, elsewhere := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, framed: %t, %v, other instance: %t", digits, framed, kind, elsewhere), func(t *testing.T) {
						t.Parallel()
						scripts := []script{respondWithStatus(digits, framed, events(0, 9))}
						if second != "" {
							scripts = append(scripts, respond(http.StatusOK, "Signed: 1\r\n", second))
						}
						h := newHarness(t, 2, scripts...)
						if elsewhere {
							h.cutOff(t, 2)
						}
						start := time.Now()
						w, err := h.serveRequest(kind, 2, true)
						h.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second), "the deadline is not awaited")
						h.g.Expect(w.Body.String()).To(gomega.Equal(second))
						h.g.Expect(h.sent()).To(gomega.Equal(len(scripts)))
						if second == "" {
							h.g.Expect(fault.From(err).Code).To(gomega.Equal(code.AnswerLost), "got %v", err)
							return
						}
						h.g.Expect(err).NotTo(gomega.HaveOccurred())
						h.g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
					})
				}
			}
		}
	}
}
