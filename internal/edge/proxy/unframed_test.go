package proxy_test

// This file tests responses that have neither a length nor chunks and end with their
// connection.

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// unframed returns a script that writes a response without a length and ends the
// connection, by a reset if reset is set.
func unframed(body string, reset bool) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", r.Header.Get("Id"), body)
		if tcp, ok := w.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		w.Close()
	}
}

// TestUnframedResponses guards against taking a response for complete that was reset or
// ended inside an event, and against rejecting one that is complete. A second endpoint
// serves what the first one broke off.
func TestUnframedResponses(t *testing.T) {
	const events, again = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"
	for _, c := range []struct {
		name  string
		kind  catalog.Kind
		first script
		next  string // body of the second response; empty if none may be needed
		want  string
	}{
		{"whole answer", catalog.Idempotent, unframed("whole", false), "", "whole"},
		{"empty answer", catalog.Idempotent, unframed("", false), "", ""},
		{"answer that was reset", catalog.Idempotent, unframed("who", true), "whole", "whole"},
		{"whole stream", catalog.Stream, unframed(events, false), "", events},
		{"stream that ended inside an event", catalog.Stream, unframed(events+"id: 2\nda", false), again, events + again},
		{"stream that ended inside its first event", catalog.Stream, unframed("id: 0", false), events, events},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2, c.first, unframed(c.next, false))
			w, err := h.serveRequest(c.kind, 3, true)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(w.Body.String()).To(Equal(c.want))
			want := 1
			if c.next != "" {
				want = 2
			}
			h.g.Expect(h.sent()).To(Equal(want))
		})
	}
}
