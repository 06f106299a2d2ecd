package proxy_test

// This file tests streams that are slow, and endpoints that send without end.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// stream serves a stream request with the given time until its deadline.
func (h *harness) stream(id string, left time.Duration) (*httptest.ResponseRecorder, error) {
	now := time.Now()
	req := &request.Request{
		ID: id, Service: "s", Method: http.MethodGet, Target: "/p/x", Host: "h", Received: now, Goal: now.Add(left / 2), Deadline: now.Add(left),
		Route: &catalog.Route{Kind: catalog.Stream, Attempts: 1},
	}
	w := httptest.NewRecorder()
	return w, h.proxy.Serve(context.Background(), req, w)
}

func writeHead(w net.Conn, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func writeChunk(w net.Conn, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

// TestSlowStreamIsNotCut guards against cutting a stream because its endpoint is silent
// for a while: the pauses before and between its events take most of its time.
func TestSlowStreamIsNotCut(t *testing.T) {
	h := newHarness(t, 1, func(w net.Conn, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		writeHead(w, r)
		for i := range 3 {
			time.Sleep(700 * time.Millisecond)
			writeChunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		fmt.Fprint(w, "0\r\n\r\n")
	})
	w, err := h.stream("c1", 4*time.Second)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(ids(w.Body.String())).To(gomega.Equal([]string{"0", "1", "2"}))
}

// TestTricklingStreamEndsAtTheDeadline guards against a stalled endpoint that sends a byte
// now and then, and holds its request without end. It must notice the end of the request.
func TestTricklingStreamEndsAtTheDeadline(t *testing.T) {
	const left = 600 * time.Millisecond
	for name, piece := range map[string]string{"within an event": "x", "comments between events": ": \n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			h := newHarness(t, 1, func(w net.Conn, r *http.Request) {
				writeHead(w, r)
				for writeChunk(w, piece) == nil {
					time.Sleep(20 * time.Millisecond)
				}
				closed <- time.Now()
			})
			start := time.Now()
			_, err := h.stream("c1", left)
			h.g.Expect(err).To(gomega.HaveOccurred())
			h.g.Expect(time.Since(start)).To(gomega.BeNumerically("~", left, left/2))
			var at time.Time
			h.g.Eventually(closed, 2*time.Second).Should(gomega.Receive(&at))
			h.g.Expect(at.Sub(start)).To(gomega.BeNumerically("<", 2*left))
		})
	}
}

// TestRunningStreamOutlivesItsRegistration guards against giving up, or starting again
// elsewhere, what runs at an endpoint that is only silent to the store: its registration
// is removed, and another endpoint is free.
func TestRunningStreamOutlivesItsRegistration(t *testing.T) {
	var h *harness
	h = newHarness(t, 2, func(w net.Conn, r *http.Request) {
		writeHead(w, r)
		writeChunk(w, "id: 0\ndata: x\n\n")
		for i := range 2 {
			h.registry.Remove(fmt.Sprint("e", i), time.Now())
		}
		time.Sleep(200 * time.Millisecond)
		writeChunk(w, "id: 1\ndata: x\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	})
	w, err := h.stream("c1", 3*time.Second)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(ids(w.Body.String())).To(gomega.Equal([]string{"0", "1"}))
	h.g.Expect(h.sent()).To(gomega.Equal(1))
}

// TestLateSecondAnswerIsNotTheNextOne guards against handing an answer to another caller:
// the endpoint sends a copy of its answer when the connection is in use again.
func TestLateSecondAnswerIsNotTheNextOne(t *testing.T) {
	answer := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\nto %s", id, len("to "+id), id)
	}
	h := newHarness(t, 1,
		func(w net.Conn, _ *http.Request) { fmt.Fprint(w, answer("c1")) },
		func(w net.Conn, _ *http.Request) { fmt.Fprint(w, answer("c1")+answer("c1")+answer("c2")) },
		func(w net.Conn, _ *http.Request) { fmt.Fprint(w, answer("c2")) }, // too late for c2
	)
	serve := func(id string) (string, error) {
		now := time.Now()
		req := &request.Request{
			ID: id, Service: "s", Method: http.MethodGet, Target: "/p/x", Host: "h", Received: now, Goal: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
			Route: &catalog.Route{Kind: catalog.NonIdempotent, Attempts: 1},
		}
		w := httptest.NewRecorder()
		err := h.proxy.Serve(context.Background(), req, w)
		return w.Body.String(), err
	}
	for _, id := range []string{"c1", "c2"} {
		body, err := serve(id)
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(body).To(gomega.Equal("to " + id))
	}
	_, err := serve("c3")
	h.g.Expect(err).To(gomega.HaveOccurred(), "only an answer to another request came")
}
