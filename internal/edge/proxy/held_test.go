package proxy_test

// This file tests what happens to requests whose prompt has a part that crashes engines.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// crash closes the connection before any byte of an answer.
func crash(w net.Conn, _ *http.Request) { w.Close() }

// crashInEvent closes the connection in the middle of the first event.
func crashInEvent(w net.Conn, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid: 0\n\r\n", r.Header.Get("Id"))
	w.Close()
}

// holdBack makes the quarantine hold back the part D.
func (h *harness) holdBack() {
	h.quarantine.Merge([]quarantine.Group{{Parts: []string{"D"}, Term: 1}}, time.Now())
}

// servePrompt serves a stream that may be resumed, whose prompt has the parts A, D and an
// own one.
func (h *harness) servePrompt() (*httptest.ResponseRecorder, *fault.Fault) {
	now := time.Now()
	req := &request.Request{
		ID: "c1", Service: "s", Method: http.MethodGet, Target: "/p/x", Host: "h", Received: now, Goal: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
		Route:  &catalog.Route{Kind: catalog.Stream, Attempts: 4, Resume: true},
		Prompt: []request.PromptPart{{ID: "A", Tokens: 1}, {ID: "D", Tokens: 1}, {ID: "o", Tokens: 1}},
	}
	w := httptest.NewRecorder()
	err := h.proxy.Serve(context.Background(), req, w)
	if err == nil {
		return w, nil
	}
	return w, fault.From(err)
}

// TestHeldPromptIsNotSent guards against sending a request whose prompt is held back by the
// time at which it would be sent.
func TestHeldPromptIsNotSent(t *testing.T) {
	h := newHarness(t, 2, streamEvents(0, 3, true))
	h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) {
		h.holdBack() // while its stages run
		return proxy.Prepared{Started: func() {}, Ended: func() {}}, nil
	}
	_, f := h.servePrompt()
	h.g.Expect(f.Code).To(Equal(code.PromptHeld))
	h.g.Expect(f.RetryAfter).To(BeZero(), "the caller must not be asked to come back soon")
	h.g.Expect(h.sent()).To(BeZero())
}

// TestHeldPromptIsNotRepeated guards against a repeat of a request that may have crashed an
// engine, and against telling its caller that it did not run.
func TestHeldPromptIsNotRepeated(t *testing.T) {
	for name, end := range map[string]script{"no answer": crash, "in its first event": crashInEvent} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil, streamEvents(0, 3, true))
			h.scripts[0] = func(w net.Conn, r *http.Request) {
				h.holdBack()
				end(w, r)
			}
			_, f := h.servePrompt()
			h.g.Expect(f.Code).To(Equal(code.AnswerLost))
			h.g.Expect(h.sent()).To(Equal(1))
			h.g.Expect(h.losses).To(HaveLen(1))
		})
	}
}

// TestTrialIsSentOnce guards against a trial that is repeated after it crashed an engine,
// and against one that is not sent.
func TestTrialIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		script script
		held   bool // afterwards
	}{{"crash", crash, true}, {"sound again", streamEvents(0, 3, true), false}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 3, c.script, streamEvents(0, 3, true))
			h.holdBack()
			h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) {
				return proxy.Prepared{Trial: true, Started: func() {}, Ended: func() {}}, nil
			}
			h.servePrompt()
			h.g.Expect(h.sent()).To(Equal(1))
			h.g.Expect(h.quarantine.Holds([]request.PromptPart{{ID: "D"}, {ID: "x"}})).To(Equal(c.held))
		})
	}
}

// TestBrokenStreamIsNoLoss guards against suspecting the parts of a request whose answer
// had begun when its engine crashed under another one.
func TestBrokenStreamIsNoLoss(t *testing.T) {
	h := newHarness(t, 2, streamEvents(0, 1, false), streamEvents(2, 3, true))
	w, f := h.servePrompt()
	h.g.Expect(f).To(BeNil())
	h.g.Expect(w.Code).To(Equal(http.StatusOK))
	h.g.Expect(h.losses).To(BeEmpty())
}
