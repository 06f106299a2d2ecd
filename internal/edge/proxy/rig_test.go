package proxy_test

// This file defines the rig of the tests: scripted endpoints behind a proxy.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/allowance"
	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/rows"
	"github.com/jacinthstile/jacinthstile/internal/edge/upstream"
	"github.com/jacinthstile/jacinthstile/internal/edge/wire"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/rule"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

// plain is a wire.Wire with headers of its own.
type plain struct{}

func (plain) Header(c *call.Call, s wire.Send) http.Header {
	return http.Header{
		"Id": {c.ID}, "Left": {strconv.FormatInt(s.Left.Milliseconds(), 10)}, "Inputs": {strings.Join(s.Inputs, ",")},
		"Resume": {s.Resume},
	}
}

func (plain) Own(c *call.Call, h http.Header) bool { return h.Get("Id") == c.ID }
func (plain) Refused(_ int, h http.Header) bool    { return h.Get("Refused") != "" }
func (plain) Signed(h http.Header) bool            { return h.Get("Signed") != "" }
func (plain) Promise(status int) bool              { return status == 429 || status == 503 }
func (plain) Load(http.Header) (board.Load, bool)  { return board.Load{}, false }
func (plain) Onward(h http.Header)                 { h.Del("Id") }

// script is what an endpoint does with a request: it writes to the connection.
type script func(w net.Conn, r *http.Request)

// answer writes a whole answer.
func answer(status int, headers, body string) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
	}
}

// events writes chunked events with the ids from..to, and ends the stream if whole.
func events(from, to int, whole bool) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if whole {
			fmt.Fprint(w, "0\r\n\r\n")
			return
		}
		w.Close()
	}
}

// rig runs endpoints that follow one shared list of scripts, in turn.
type rig struct {
	g        *gomega.WithT
	proxy    *proxy.Proxy
	mu       sync.Mutex
	scripts  []script
	requests []*http.Request
	prepares int
	ended    int
	prepare  func(round proxy.Round) (proxy.Prepared, error)
}

func newRig(t *testing.T, endpoints int, scripts ...script) *rig {
	r := &rig{g: gomega.NewWithT(t), scripts: scripts}
	tables := holder.New()
	publisher := rows.New(tables, policy.Policy{Attainment: 1, Eject: 0.3, Ticket: span.Span(time.Second), Seats: 1}, "a", 0)
	var index *fleet.Index
	f := fleet.New(func(all []*fleet.Endpoint) {
		index = fleet.NewIndex(all)
		r.g.Expect(publisher.Publish(all)).To(gomega.Succeed())
	})
	for i := range endpoints {
		f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: r.listen(t), Centre: "a", Slots: 8, State: fleet.Ready})
	}
	stats := board.New()
	d := dispatcher.New(tables, picker.New("a", rule.Predicted{}, stats, 1), stats, 8, logr.Discard(), tally.NoopScope)
	pool, closePool := upstream.New()
	t.Cleanup(closePool)
	r.proxy = proxy.New(plain{}, func() *fleet.Index { return index }, tables, d, pool,
		allowance.New(0, 4, 10*time.Second), r, logr.Discard())
	return r
}

// Prepare counts the rounds, each with an input of its own.
func (r *rig) Prepare(_ context.Context, round proxy.Round) (proxy.Prepared, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepares++
	if r.prepare != nil {
		return r.prepare(round)
	}
	return proxy.Prepared{
		Inputs: []string{fmt.Sprint("input", round.Number)}, Started: func() {}, Ended: func() { r.ended++ },
	}, nil
}

func (r *rig) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go r.serve(c)
		}
	}()
	return l.Addr().String()
}

func (r *rig) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.requests = append(r.requests, req)
		if len(r.scripts) == 0 {
			r.mu.Unlock()
			c.Close()
			return
		}
		next := r.scripts[0]
		r.scripts = r.scripts[1:]
		r.mu.Unlock()
		next(c, req)
	}
}

// sent returns how many requests reached endpoints.
func (r *rig) sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// serveCall serves one call with a route of a kind, and returns its answer and error.
func (r *rig) serveCall(kind catalog.Kind, attempts int, resume bool) (*httptest.ResponseRecorder, error) {
	now := time.Now()
	c := &call.Call{
		ID: "c1", Service: "s", Method: http.MethodGet, Target: "/p/x", Host: "h", Received: now,
		Goal: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
		Route: &catalog.Route{Kind: kind, Attempts: attempts, Resume: resume},
	}
	w := httptest.NewRecorder()
	return w, r.proxy.Serve(context.Background(), c, w)
}

var errRefused = errors.New("refused")
