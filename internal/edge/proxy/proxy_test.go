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

func hangUp(w net.Conn, _ *http.Request) { w.Close() }

var (
	good    = answer(200, "Signed: 1\r\n", "body")
	failing = answer(500, "Signed: 1\r\n", "sorry")
	refuses = answer(503, "Refused: 1\r\n", "")
	shy     = answer(503, "Signed: 1\r\n", "") // says nothing of whether it ran
	unowned = answer(200, "", "body")
)

// TestPlainCalls plays what an endpoint may do with a plain call, and checks
// how often it is sent and what the caller is told.
func TestPlainCalls(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     catalog.Kind
		attempts int
		scripts  []script
		sent     int
		status   int         // of the answer; 0 for a fault
		class    class.Class // of the fault
	}{
		{"answered", catalog.NonIdempotent, 1, []script{good}, 1, 200, 0},
		{"an error is passed on", catalog.NonIdempotent, 1, []script{failing}, 1, 500, 0},
		{"a lost answer is not asked for twice", catalog.NonIdempotent, 3, []script{hangUp, good}, 1, 0, class.Unknown},
		{"a refusal is sent on", catalog.NonIdempotent, 1, []script{refuses, good}, 2, 200, 0},
		{"all refuse", catalog.NonIdempotent, 1, []script{refuses, refuses, refuses, refuses}, 4, 0, class.NotRun},
		{"a promise that is none is not passed on", catalog.NonIdempotent, 1, []script{shy}, 1, 0, class.Failed},
		{"an unsigned success is none", catalog.NonIdempotent, 1, []script{unowned}, 1, 0, class.Failed},
		{"a lost answer is asked for again", catalog.Idempotent, 2, []script{hangUp, good}, 2, 200, 0},
		{"an error is tried elsewhere", catalog.Idempotent, 2, []script{failing, good}, 2, 200, 0},
		{"the last error is passed on", catalog.Idempotent, 2, []script{failing, failing}, 2, 500, 0},
		{"no more than the route's attempts", catalog.Idempotent, 2, []script{hangUp, hangUp, good}, 2, 0, class.Unknown},
		{"a refusal after a lost answer promises nothing", catalog.Idempotent, 2, []script{hangUp, refuses, refuses, refuses}, 4, 0, class.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 4, c.scripts...)
			w, err := r.serveCall(c.kind, c.attempts, false)
			r.g.Expect(r.sent()).To(gomega.Equal(c.sent), "requests at endpoints")
			if c.status != 0 {
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
				r.g.Expect(w.Code).To(gomega.Equal(c.status))
				return
			}
			r.g.Expect(fault.From(err).Code.Class()).To(gomega.Equal(c.class), "got %v", err)
			r.g.Expect(w.Body.Len()).To(gomega.BeZero())
		})
	}
}

// TestStreams plays what endpoints may do with a stream.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name    string
		resume  bool
		scripts []script
		sent    int
		want    []string // ids of the caller's events
		err     error
	}{
		{"whole", false, []script{events(0, 3, true)}, 1, []string{"0", "1", "2", "3"}, nil},
		{"broken", false, []script{events(0, 1, false), events(0, 3, true)}, 1, []string{"0", "1"}, proxy.ErrBroken},
		{"resumed", true, []script{events(0, 1, false), events(2, 3, true)}, 2, []string{"0", "1", "2", "3"}, nil},
		{"resumed with events known", true, []script{events(0, 1, false), events(0, 3, true)}, 2, []string{"0", "1", "2", "3"}, nil},
		{
			"the endpoint that resumes finds no inputs", true,
			[]script{events(0, 1, false), answer(409, "Refused: 1\r\n", ""), events(2, 3, true)},
			3,
			[]string{"0", "1", "2", "3"}, nil,
		},
		{
			"nobody resumes", true,
			[]script{events(0, 1, false), refuses, refuses, refuses, refuses},
			4,
			[]string{"0", "1"}, proxy.ErrBroken,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 5, c.scripts...)
			w, err := r.serveCall(catalog.Stream, 2, c.resume)
			if c.err == nil {
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				r.g.Expect(err).To(gomega.MatchError(c.err))
			}
			r.g.Expect(ids(w.Body.String())).To(gomega.Equal(c.want))
			r.g.Expect(r.sent()).To(gomega.Equal(c.sent), "requests at endpoints")
			r.g.Expect(r.ended).To(gomega.Equal(r.prepares), "each preparation is ended")
		})
	}
}

// TestResumedStreamHasItsInputsMadeAgain replays the crash of an engine in the
// middle of a stream whose inputs had been freed at its first event.
func TestResumedStreamHasItsInputsMadeAgain(t *testing.T) {
	r := newRig(t, 3, events(0, 1, false), events(2, 3, true))
	_, err := r.serveCall(catalog.Stream, 2, true)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(r.requests[0].Header.Get("Inputs")).To(gomega.Equal("input0"))
	r.g.Expect(r.requests[1].Header.Get("Inputs")).To(gomega.Equal("input1"))
	r.g.Expect(r.requests[1].Header.Get("Resume")).To(gomega.Equal("1"))
}

// TestRefusedPreparationSendsNothing checks that a call whose stages are
// refused never reaches an endpoint.
func TestRefusedPreparationSendsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.prepare = func(proxy.Round) (proxy.Prepared, error) { return proxy.Prepared{}, errRefused }
	_, err := r.serveCall(catalog.Stream, 1, false)
	r.g.Expect(err).To(gomega.MatchError(errRefused))
	r.g.Expect(r.sent()).To(gomega.BeZero())
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
