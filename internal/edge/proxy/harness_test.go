package proxy_test

// This file defines the test harness: a proxy in front of endpoints that follow
// scripts.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/admission/retrylimit"
	"github.com/jacinthstile/jacinthstile/internal/base/boottime"
	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/endpointtable"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/prober"
	"github.com/jacinthstile/jacinthstile/internal/edge/protocol"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/reach"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/routing/warmup"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

// testCodec is a protocol.Codec with short header names.
type testCodec struct{}

func (testCodec) RequestHeader(req *request.Request, a protocol.Attempt) http.Header {
	return http.Header{
		"Id": {req.ID}, "Left": {strconv.FormatInt(a.TimeLeft.Milliseconds(), 10)}, "Inputs": {strings.Join(a.Inputs, ",")},
		"Resume": {a.LastEventID},
	}
}

func (testCodec) Matches(req *request.Request, h http.Header) bool { return h.Get("Id") == req.ID }
func (testCodec) Refused(_ int, h http.Header) bool                { return h.Get("Refused") != "" }
func (testCodec) Signed(h http.Header) bool                        { return h.Get("Signed") != "" }
func (testCodec) ImpliesNotRun(status int) bool                    { return status == 429 || status == 503 }
func (testCodec) Load(http.Header) (endpointstats.Load, bool)      { return endpointstats.Load{}, false }
func (testCodec) Notice(status int, h http.Header) (notice.Notice, error) {
	n := notice.Notice{Leaving: h.Get("Leaving") != ""}
	if text := h.Get("Limit"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return n, err
		}
		n.Limit, n.Rate = notice.Named, rate
	}
	if status == http.StatusServiceUnavailable && h.Get("Pause") != "" {
		length, err := time.ParseDuration(h.Get("Pause"))
		if err != nil {
			return n, err
		}
		n.Pause = length
	}
	return n, nil
}

func (testCodec) RelayHeader(req *request.Request, a protocol.RelayAttempt) http.Header {
	return http.Header{"Id": {req.ID}, "Resume": {a.LastEventID}, "Resumes": {a.Resumes}, "Runs": {strconv.Itoa(a.Runs)}, "Recorded": {strconv.FormatBool(a.Recorded)}, "Left": {strconv.FormatInt(a.TimeLeft.Milliseconds(), 10)}}
}

func (testCodec) RelayFault(_ int, _ http.Header, body []byte) *fault.Fault {
	n, err := strconv.Atoi(string(body))
	if err != nil {
		return fault.New(code.AnswerBad, "no code")
	}
	return fault.New(code.Code(n), "answered")
}

func (testCodec) StripInternal(h http.Header) { h.Del("Id") }

// script handles one request at an endpoint by writing to the raw connection.
type script func(w net.Conn, r *http.Request)

// respond returns a script that writes a complete response.
func respond(status int, headers, body string) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
	}
}

// streamEvents returns a script that writes a chunked response of events with
// the ids from..to. Unless complete is set, it closes the connection instead of
// writing the final chunk.
func streamEvents(from, to int, complete bool) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if complete {
			fmt.Fprint(w, "0\r\n\r\n")
			return
		}
		w.Close()
	}
}

// breakAfterEvent returns a script that writes one event and closes the connection.
func breakAfterEvent(headers string) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), headers)
		fmt.Fprint(w, "f\r\nid: 0\ndata: x\n\n\r\n")
		w.Close()
	}
}

// breakInsideEvent returns a script that writes some events and a part of the next one, and closes
// the connection.
func breakInsideEvent(events int) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(w, "4\r\nid: \r\n")
		w.Close()
	}
}

// countEvents returns the number of events in a response.
func countEvents(w *httptest.ResponseRecorder) int { return strings.Count(w.Body.String(), "\n\n") }

// harness runs a proxy with several endpoints. Each request that reaches any
// endpoint takes the next script from one shared list; without a script left,
// the endpoint closes the connection.
type harness struct {
	t        *testing.T
	g        *gomega.WithT
	proxy    *proxy.Proxy
	registry *registry.Registry
	mu       sync.Mutex
	scripts  []script
	requests []*http.Request
	prepares int // calls of Prepare
	ended    int // calls of Prepared.Ended
	prepare  func(p proxy.PrepareParams) (proxy.Prepared, error)
	permits  []proxy.PermitParams
	permit   func(p proxy.PermitParams) (string, error)

	quarantine *quarantine.Quarantine
	losses     []quarantine.Loss
	origins    map[uint64]origin.Origin
	versions   *versionset.Tracker
	freshness  *freshness.Tracker // of a clock that stands still at the last confirmation
	clock      atomic.Int64       // its time in nanoseconds
	reach      *reach.Tracker
	relays     *relays.List
	reached    []string // addresses of the endpoints that got requests
	index      func() *registry.Index
	listeners  map[string]net.Listener // of the endpoints, by address
	shutdown   *shutdown.Shutdown
	wait       func(ctx context.Context) error // in Prepare and Permit; they return its error
	slowness   slowness                        // of the connections to endpoints and instances
}

func newHarness(t *testing.T, endpoints int, scripts ...script) *harness {
	return newHarnessWithBudget(t, retrylimit.New(0, 4, 10*time.Second, boottime.Now, tally.NoopScope), endpoints, scripts...)
}

func newHarnessWithBudget(t *testing.T, budget *retrylimit.Limiter, endpoints int, scripts ...script) *harness {
	h := &harness{t: t, g: gomega.NewWithT(t), scripts: scripts, quarantine: quarantine.New(), origins: make(map[uint64]origin.Origin), versions: versionset.New(), listeners: make(map[string]net.Listener), shutdown: shutdown.New()}
	h.freshness = freshness.New(func() time.Duration { return time.Duration(h.clock.Load()) })
	h.clock.Store(int64(time.Hour))
	h.freshness.Confirm(time.Hour)
	tables := holder.New()
	publisher := endpointtable.New(tables, policy.Policy{Attainment: 1, MaxEjected: 0.3, Ticket: span.Span(time.Second), Seats: 1}, "a", 0)
	var index *registry.Index
	f := registry.New(time.Second, func(all []*registry.Endpoint) {
		index = registry.NewIndex(all)
		h.versions.Observe(all, time.Now())
		h.g.Expect(publisher.Publish(all)).To(gomega.Succeed())
	})
	for i := range endpoints {
		f.Put(registry.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: h.listen(t), Centre: "a", Slots: 8, State: registry.Ready, Version: "v1"}, time.Now())
	}
	h.registry, h.index = f, func() *registry.Index { return index }
	stats := endpointstats.New()
	d := dispatcher.New(tables, picker.New("a", strategy.Predicted{}, stats, 1), stats, 8, logr.Discard(), tally.NoopScope)
	pool, closePool := connpool.New(h.dial, nil)
	t.Cleanup(closePool)
	h.proxy = proxy.New(testCodec{}, func() *registry.Index { return index }, tables, d, pool,
		budget, h, h.quarantine, stats.Limits(), notice.New(f, stats.Cooldown(), stats.Limits(), warmup.New(stats.Limits(), warmup.Allowance{}), pace.New(), slowstart.New(1), false, stats.Brittle(), logr.Discard(), tally.NoopScope), h.versions, h.freshness, h.newPaths(pool), h.shutdown, logr.Discard())
	return h
}

// slowness is what a connection to an endpoint takes longer than it has to.
type slowness struct {
	upload time.Duration // before each write but the first
	end    time.Duration // before its end is reported
}

// slowConn is a connection with a slowness.
type slowConn struct {
	*net.TCPConn
	slowness
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		time.Sleep(c.upload)
	}
	return c.TCPConn.Write(p)
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		time.Sleep(c.end)
	}
	return n, err
}

// dial connects as the product does.
func (h *harness) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := connpool.NewDial()(ctx, address)
	if err != nil || h.slowness == (slowness{}) {
		return c, err
	}
	return &slowConn{TCPConn: c.(*net.TCPConn), slowness: h.slowness}, nil
}

// newPaths returns the paths of an instance that reaches all services.
func (h *harness) newPaths(pool *connpool.Pool) proxy.Paths {
	h.reach = reach.New(func(string) string { return "s" }, logr.Discard())
	h.relays = relays.New("a")
	return proxy.Paths{Reach: h.reach, Prober: prober.New(h.reach, h.index, pool), Relays: h.relays}
}

// Prepare counts its calls and returns a different input for each round, unless
// the test has set prepare.
func (h *harness) Prepare(ctx context.Context, p proxy.PrepareParams) (proxy.Prepared, error) {
	if h.wait != nil {
		return proxy.Prepared{}, h.wait(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prepares++
	if h.prepare != nil {
		return h.prepare(p)
	}
	return proxy.Prepared{
		Inputs: []string{fmt.Sprint("input", p.Round)}, Started: func() {}, Ended: func() { h.ended++ },
	}, nil
}

// Permit implements proxy.Preparer. It records its calls and answers as the test has set.
func (h *harness) Permit(ctx context.Context, p proxy.PermitParams) (string, error) {
	if h.wait != nil {
		return "", h.wait(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits = append(h.permits, p)
	if h.permit == nil {
		return "", fault.New(code.Overloaded, "no permit")
	}
	return h.permit(p)
}

// RecordBegun implements proxy.Preparer. As in package originlog, an origin without a service is not recorded.
func (h *harness) RecordBegun(stream uint64, o origin.Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Service != "" {
		h.origins[stream] = o
	}
}

// Origin implements proxy.Preparer.
func (h *harness) Origin(_ context.Context, stream uint64) (origin.Origin, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.origins[stream]
	return o, ok
}

// RecordLoss implements proxy.Preparer.
func (h *harness) RecordLoss(_ string, l quarantine.Loss) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.losses = append(h.losses, l)
	h.quarantine.RecordLoss(l)
}

// RecordClearance implements proxy.Preparer.
func (h *harness) RecordClearance(c quarantine.Clearance) { h.quarantine.Clear(c, time.Now()) }

func (h *harness) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	h.mu.Lock()
	h.listeners[l.Addr().String()] = l
	h.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go h.serve(c, l.Addr().String())
		}
	}()
	return l.Addr().String()
}

// bindPort binds a port of loopback, zero for any, on which nothing listens until the test ends, and
// returns its address: connections are refused, and no other process can listen there meanwhile.
func bindPort(t *testing.T, port int) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Error(err)
		return ""
	}
	t.Cleanup(func() { unix.Close(fd) })
	err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
	bound, nameErr := unix.Getsockname(fd)
	if err = errors.Join(err, nameErr); err != nil {
		t.Error(err)
		return ""
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// refuse makes the endpoint of a connection refuse connections from now on.
func (h *harness) refuse(w net.Conn) {
	h.mu.Lock()
	l := h.listeners[w.LocalAddr().String()]
	h.mu.Unlock()
	l.Close()
	bindPort(h.t, l.Addr().(*net.TCPAddr).Port)
}

func (h *harness) serve(c net.Conn, address string) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.requests = append(h.requests, req)
		h.reached = append(h.reached, address)
		if len(h.scripts) == 0 {
			h.mu.Unlock()
			c.Close()
			return
		}
		next := h.scripts[0]
		h.scripts = h.scripts[1:]
		h.mu.Unlock()
		next(c, req)
	}
}

// sent returns the number of requests that reached endpoints.
func (h *harness) sent() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// serveRequest serves one request on a route of the given kind, and returns the
// response and the error.
func (h *harness) serveRequest(kind catalog.Kind, attempts int, resume bool) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	return w, h.proxy.Serve(context.Background(), newRequest(kind, attempts, resume), w)
}

func newRequest(kind catalog.Kind, attempts int, resume bool) *request.Request {
	now := time.Now()
	return &request.Request{
		ID: "c1", Service: "s", Method: http.MethodGet, Target: "/p/x", Host: "h", Received: now,
		Goal: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
		Route: &catalog.Route{Kind: kind, Attempts: attempts, Resume: resume},
	}
}

var errRefused = errors.New("refused")
