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

// holds reports whether the quarantine holds back a prompt with the part.
func (h *harness) holds(part string) bool {
	held, _ := h.quarantine.Holds(quarantine.Subject{Prompt: []request.PromptPart{{ID: part}, {ID: "x"}}})
	return held
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
			h.g.Expect(h.holds("D")).To(Equal(c.held))
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

// crashEndpoint closes the endpoint of the connection: it takes no new ones.
func (h *harness) crashEndpoint(w net.Conn, _ *http.Request) {
	h.refuse(w)
	w.Close()
}

// TestCrashesUnderAllKindsAreRecorded guards against a crash under a request that is not told
// to the coordinator, and against taking a lost answer for one: the endpoint is still there.
func TestCrashesUnderAllKindsAreRecorded(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHarness(t, 4, nil, crash)
			h.scripts[0] = h.crashEndpoint
			h.serveRequest(kind, 1, false)
			h.g.Expect(h.losses).To(HaveLen(1))
			h.g.Expect(h.losses[0].Crashed).To(BeTrue())
			first := h.losses[0].Fingerprint
			h.serveRequest(kind, 1, false)
			if kind == catalog.Stream {
				h.g.Expect(h.losses).To(HaveLen(2))
				h.g.Expect(h.losses[1].Crashed).To(BeFalse())
				h.g.Expect(h.losses[1].Fingerprint).To(Equal(first), "equal requests")
			} else {
				h.g.Expect(h.losses).To(HaveLen(1))
			}
		})
	}
}

// TestStreamThatCrashesAfterEventsIsRecorded guards against a request that crashes engines
// once its answer has begun.
func TestStreamThatCrashesAfterEventsIsRecorded(t *testing.T) {
	h := newHarness(t, 4, nil)
	h.scripts[0] = func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n", r.Header.Get("Id"))
		time.Sleep(50 * time.Millisecond)
		h.crashEndpoint(w, r)
	}
	h.servePrompt()
	h.g.Expect(h.losses).NotTo(BeEmpty())
	h.g.Expect(h.losses[0].Crashed).To(BeTrue())
	h.g.Expect(h.losses[0].Parts).To(BeEmpty(), "the answer cleared the parts of the prompt")
}

// TestHeldRequestIsNotSent guards against sending a request that is held back as a whole, of any
// kind, and against never trying it again.
func TestHeldRequestIsNotSent(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			answer := okResponse
			if kind == catalog.Stream {
				answer = streamEvents(0, 2, true)
			}
			h := newHarness(t, 2, answer)
			h.holdRequest(kind)
			h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) {
				return proxy.Prepared{}, fault.New(code.RequestHeld, "held")
			}
			_, err := h.serveRequest(kind, 3, false)
			h.g.Expect(fault.From(err).Code).To(Equal(code.RequestHeld))
			h.g.Expect(fault.From(err).RetryAfter).To(BeZero())
			h.g.Expect(h.sent()).To(BeZero())
			h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) {
				return proxy.Prepared{Trial: true, Started: func() {}, Ended: func() {}}, nil
			}
			w, err := h.serveRequest(kind, 3, false)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(w.Code).To(Equal(http.StatusOK))
			h.g.Expect(h.sent()).To(Equal(1), "the trial")
			h.g.Expect(h.quarantine.Empty()).To(BeFalse(), "the verdict is remembered as released")
			held, _ := h.quarantine.Holds(h.subjectOf(kind))
			h.g.Expect(held).To(BeFalse(), "it was answered")
		})
	}
}

// subjectOf returns what the quarantine knows the request of serveRequest by.
func (h *harness) subjectOf(kind catalog.Kind) quarantine.Subject {
	return quarantine.SubjectOf(newRequest(kind, 1, false))
}

// holdRequest makes the quarantine hold back the request of serveRequest.
func (h *harness) holdRequest(kind catalog.Kind) {
	name := fmt.Sprintf("request:%016x", h.subjectOf(kind).Fingerprint)
	h.quarantine.Merge([]quarantine.Group{{Parts: []string{name}, Term: 1}}, time.Now())
}

// TestSuspectIsKeptFromTheLastEndpoint guards against a request that crashes all endpoints of
// its service one after the other, by its repeats or as it comes again, and against one that is
// refused for ever after a crash that it did not cause.
func TestSuspectIsKeptFromTheLastEndpoint(t *testing.T) {
	h := newHarness(t, 3)
	h.scripts = []script{h.crashEndpoint, h.crashEndpoint, h.crashEndpoint}
	_, err := h.serveRequest(catalog.Idempotent, 3, false)
	h.g.Expect(h.sent()).To(Equal(1), "two are left: not repeated")
	h.g.Expect(fault.From(err).Code).To(Equal(code.AnswerLost))
	_, err = h.serveRequest(catalog.Idempotent, 3, false)
	h.g.Expect(h.sent()).To(Equal(2), "%v", err)
	for range 3 {
		_, err = h.serveRequest(catalog.Idempotent, 3, false)
		h.g.Expect(h.sent()).To(Equal(2), "the last one")
		h.g.Expect(fault.From(err).Code).To(Equal(code.RequestHeld))
		h.g.Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
	}
	h.RecordClearance(quarantine.Clearance{Fingerprint: h.subjectOf(catalog.Idempotent).Fingerprint, At: time.Now()})
	h.scripts = []script{okResponse}
	w, err := h.serveRequest(catalog.Idempotent, 3, false)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(w.Code).To(Equal(http.StatusOK))
}

// TestLostAnswerIsRepeated guards against giving up a request whose answer was lost by an
// endpoint that is still there.
func TestLostAnswerIsRepeated(t *testing.T) {
	h := newHarness(t, 2, crash, okResponse)
	w, err := h.serveRequest(catalog.Idempotent, 3, false)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(w.Code).To(Equal(http.StatusOK))
	h.g.Expect(h.losses).To(BeEmpty())
}

// TestCrashThatDidNotHappenIsTakenBack guards against an instance that is cut off from an
// endpoint, and makes the others believe that it crashed: it answers them.
func TestCrashThatDidNotHappenIsTakenBack(t *testing.T) {
	h := newHarness(t, 1, okResponse, okResponse)
	s := h.subjectOf(catalog.Idempotent)
	other := quarantine.Subject{Fingerprint: 99}
	h.quarantine.RecordLoss(quarantine.NewLoss("e0@0", other, false, true, time.Now()))
	h.g.Expect(h.quarantine.HasCrashed("e0@0", time.Now())).To(BeTrue())
	_, err := h.serveRequest(catalog.Idempotent, 1, false)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(h.quarantine.HasCrashed("e0@0", time.Now())).To(BeFalse())
	suspect, _ := h.quarantine.IsSuspect(99, time.Now())
	h.g.Expect(suspect).To(BeFalse())
	h.quarantine.RecordLoss(quarantine.NewLoss("e0@0", s, false, true, time.Now().Add(-time.Second)))
	h.g.Expect(h.quarantine.HasCrashed("e0@0", time.Now())).To(BeFalse(), "told again, by the instance that is cut off")
	h.quarantine.RecordLoss(quarantine.NewLoss("e0@0", s, false, true, time.Now().Add(time.Second)))
	h.g.Expect(h.quarantine.HasCrashed("e0@0", time.Now())).To(BeTrue(), "it crashed later")
}
