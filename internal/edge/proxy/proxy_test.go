package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

func closeConn(w net.Conn, _ *http.Request) { w.Close() }

var (
	okResponse    = respond(200, "Signed: 1\r\n", "body")
	errorResponse = respond(500, "Signed: 1\r\n", "sorry")
	refusal       = respond(503, "Refused: 1\r\n", "")
	unmarked503   = respond(503, "Signed: 1\r\n", "") // does not say whether the request ran
	unsignedOK    = respond(200, "", "body")
)

// TestNonStreamRequests guards against running a non-idempotent request twice,
// against giving up a request that may safely be retried, and against telling
// the caller that nothing ran when the request may have run. Endpoints respond,
// refuse, fail or close the connection in the given order.
func TestNonStreamRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     catalog.Kind
		attempts int
		scripts  []script
		sent     int
		status   int         // of the response; 0 if Serve fails
		class    class.Class // of the fault, if Serve fails
	}{
		{"successful response is relayed", catalog.NonIdempotent, 1, []script{okResponse}, 1, 200, 0},
		{"error response is relayed", catalog.NonIdempotent, 1, []script{errorResponse}, 1, 500, 0},
		{"non-idempotent request is not retried after a lost response", catalog.NonIdempotent, 3, []script{closeConn, okResponse}, 1, 0, class.Unknown},
		{"refused request is sent to another endpoint", catalog.NonIdempotent, 1, []script{refusal, okResponse}, 2, 200, 0},
		{"all endpoints refuse", catalog.NonIdempotent, 1, []script{refusal, refusal, refusal, refusal}, 4, 0, class.NotRun},
		{"status 503 without the refusal header is not relayed", catalog.NonIdempotent, 1, []script{unmarked503}, 1, 0, class.Failed},
		{"unsigned success is not relayed", catalog.NonIdempotent, 1, []script{unsignedOK}, 1, 0, class.Failed},
		{"idempotent request is retried after a lost response", catalog.Idempotent, 2, []script{closeConn, okResponse}, 2, 200, 0},
		{"idempotent request is retried after an error response", catalog.Idempotent, 2, []script{errorResponse, okResponse}, 2, 200, 0},
		{"last error response is relayed", catalog.Idempotent, 2, []script{errorResponse, errorResponse}, 2, 500, 0},
		{"attempts are limited by the route", catalog.Idempotent, 2, []script{closeConn, closeConn, okResponse}, 2, 0, class.Unknown},
		{"refusals after a lost response do not mean that nothing ran", catalog.Idempotent, 2, []script{closeConn, refusal, refusal, refusal}, 4, 0, class.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4, c.scripts...)
			w, err := h.serveRequest(c.kind, c.attempts, false)
			h.g.Expect(h.sent()).To(gomega.Equal(c.sent), "requests at endpoints")
			if c.status != 0 {
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
				h.g.Expect(w.Code).To(gomega.Equal(c.status))
				return
			}
			h.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(c.class), "got %v", err)
			h.g.Expect(w.Body.Len()).To(gomega.BeZero())
		})
	}
}

// TestStreams guards against lost or repeated events when an endpoint breaks a
// stream, against resuming a stream whose route does not allow it, and against
// preparations that are never ended.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name    string
		resume  bool
		scripts []script
		sent    int
		want    []string // ids of the events that the caller receives
		err     error
	}{
		{"complete", false, []script{streamEvents(0, 3, true)}, 1, []string{"0", "1", "2", "3"}, nil},
		{"broken, not resumable", false, []script{streamEvents(0, 1, false), streamEvents(0, 3, true)}, 1, []string{"0", "1"}, proxy.ErrStreamBroken},
		{"resumed", true, []script{streamEvents(0, 1, false), streamEvents(2, 3, true)}, 2, []string{"0", "1", "2", "3"}, nil},
		{"resumed with repeated events", true, []script{streamEvents(0, 1, false), streamEvents(0, 3, true)}, 2, []string{"0", "1", "2", "3"}, nil},
		{"resumed after a gap", true, []script{streamEvents(0, 1, false), streamEvents(3, 4, true)}, 2, []string{"0", "1"}, proxy.ErrStreamBroken},
		{
			"inputs are gone at the endpoint that resumes", true,
			[]script{streamEvents(0, 1, false), respond(409, "Refused: 1\r\n", ""), streamEvents(2, 3, true)},
			3,
			[]string{"0", "1", "2", "3"}, nil,
		},
		{
			"all endpoints refuse to resume", true,
			[]script{streamEvents(0, 1, false), refusal, refusal, refusal, refusal},
			4,
			[]string{"0", "1"}, proxy.ErrStreamBroken,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 5, c.scripts...)
			w, err := h.serveRequest(catalog.Stream, 2, c.resume)
			if c.err == nil {
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				h.g.Expect(err).To(gomega.MatchError(c.err))
			}
			h.g.Expect(ids(w.Body.String())).To(gomega.Equal(c.want))
			h.g.Expect(h.sent()).To(gomega.Equal(c.sent), "requests at endpoints")
			h.g.Expect(h.ended).To(gomega.Equal(h.prepares), "calls of Ended, want one for each preparation")
		})
	}
}

// TestResumedStreamPreparesInputsAgain guards against resuming a stream with
// handles of inputs that no longer exist: they are released at the first event,
// and the engine crashes after that.
func TestResumedStreamPreparesInputsAgain(t *testing.T) {
	h := newHarness(t, 3, streamEvents(0, 1, false), streamEvents(2, 3, true))
	_, err := h.serveRequest(catalog.Stream, 2, true)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(h.requests[0].Header.Get("Inputs")).To(gomega.Equal("input0"))
	h.g.Expect(h.requests[1].Header.Get("Inputs")).To(gomega.Equal("input1"))
	h.g.Expect(h.requests[1].Header.Get("Resume")).To(gomega.Equal("1"))
}

// TestRefusedPreparationSendsNothing guards against sending a request to an
// endpoint although its preparation was refused.
func TestRefusedPreparationSendsNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.prepare = func(proxy.PrepareParams) (proxy.Prepared, error) { return proxy.Prepared{}, errRefused }
	_, err := h.serveRequest(catalog.Stream, 1, false)
	h.g.Expect(err).To(gomega.MatchError(errRefused))
	h.g.Expect(h.sent()).To(gomega.BeZero())
}

func ids(body string) []string {
	var list []string
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			list = append(list, id)
		}
	}
	return list
}
