package client_test

// This file checks what a failure says about the execution of a call, and that
// only complete responses to the call itself are accepted.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T) *client.Client {
	c, closeClient := client.New()
	t.Cleanup(closeClient)
	return c
}

// abortingServer answers requests for /warm. For any other path it reads the whole
// request and closes the connection without a response. It counts the requests by
// path.
type abortingServer struct {
	mu   sync.Mutex
	runs map[string]int
}

func (d *abortingServer) count(path string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[path]
}

func (d *abortingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.runs[r.URL.Path]++
	d.mu.Unlock()
	if r.URL.Path != "/warm" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(client.HeaderRequest, r.Header.Get(client.HeaderRequest))
}

// net/http sends a request again by itself if a reused connection fails before
// the response and the request seems idempotent, such as a GET or one with an
// Idempotency-Key. A non-idempotent call would then run twice. The test first
// provokes such a retry with an unprotected client.
func TestNonIdempotentCallsAreNeverReplayed(t *testing.T) {
	for _, c := range []struct{ name, method, body, key string }{
		{"get without body", http.MethodGet, "", ""},
		{"post without body and with a key", http.MethodPost, "", "k"},
		{"post with body and key", http.MethodPost, "x", "k"},
		{"delete with a key", http.MethodDelete, "", "k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := &abortingServer{runs: map[string]int{}}
			s := httptest.NewServer(d)
			defer s.Close()
			s.Config.ErrorLog = nil

			unprotected := &http.Client{Transport: &http.Transport{}}
			defer unprotected.CloseIdleConnections()
			get(unprotected, http.MethodGet, s.URL+"/warm", "", "")
			get(unprotected, c.method, s.URL+"/unprotected", c.body, c.key)
			g.Expect(d.count("/unprotected")).To(BeNumerically(">", 1), "the server must provoke a retry by net/http")

			protected := newClient(t)
			address := strings.TrimPrefix(s.URL, "http://")
			p := client.ServiceCall{RequestID: "r", Method: http.MethodGet, Path: "/warm", Deadline: time.Now().Add(5 * time.Second)}
			_, err := protected.CallService(t.Context(), address, p)
			g.Expect(err).NotTo(HaveOccurred())
			p.Method, p.Path, p.IdempotencyKey, p.NonIdempotent = c.method, "/protected", c.key, true
			p.Body = []byte(c.body)
			_, err = protected.CallService(t.Context(), address, p)
			g.Expect(failure.KindOf(err)).To(Equal(failure.Lost))
			g.Expect(d.count("/protected")).To(Equal(1))
		})
	}
}

func get(c *http.Client, method, url, body, key string) {
	req, _ := http.NewRequest(method, url, strings.NewReader(body))
	if body == "" {
		req.Body = nil
	}
	if key != "" {
		req.Header.Set(client.HeaderIdempotencyKey, key)
	}
	if resp, err := c.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Following a redirect would send a non-idempotent call a second time.
func TestRedirectsAreNotFollowed(t *testing.T) {
	g := NewWithT(t)
	runs := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs++
		w.Header().Set(client.HeaderRequest, r.Header.Get(client.HeaderRequest))
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	reply, err := newClient(t).CallService(t.Context(), strings.TrimPrefix(s.URL, "http://"), client.ServiceCall{
		RequestID: "r", Method: http.MethodPost, Path: "/book", NonIdempotent: true, Deadline: time.Now().Add(time.Second),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(runs).To(Equal(1))
}

// recorder accepts connections and records the path of each request of which a
// byte arrived. It never responds.
type recorder struct {
	net.Listener
	mu      sync.Mutex
	seen    map[string]bool
	arrived int
}

func record(t *testing.T) *recorder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recorder{Listener: l, seen: map[string]bool{}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { s.read(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return s
}

func (s *recorder) read(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 4096)
	n, _ := c.Read(buf)
	if n == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	if fields := strings.Fields(line); len(fields) > 1 {
		s.seen[fields[1]] = true
	}
}

// A call that fails as Unsent may be sent again. If a byte of it had arrived, it
// could run twice. The test cancels calls at random moments of the connecting and
// writing.
func TestUnsentMeansThatNoByteLeft(t *testing.T) {
	g := NewWithT(t)
	s := record(t)
	c := newClient(t)
	rng := rand.New(rand.NewPCG(1, 1))
	unsent := map[string]bool{}
	for i := range 400 {
		path := fmt.Sprintf("/%d", i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(400))*time.Microsecond)
		_, err := c.CallService(ctx, s.Addr().String(), client.ServiceCall{
			RequestID: "r", Method: http.MethodPost, Path: path, Body: []byte("x"),
			NonIdempotent: i%2 == 0, Deadline: time.Now().Add(time.Second),
		})
		cancel()
		g.Expect(err).To(HaveOccurred())
		if failure.KindOf(err) == failure.Unsent {
			unsent[path] = true
		}
	}
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for path := range unsent {
		g.Expect(s.seen[path]).To(BeFalse(), "%s failed as unsent, but a byte of it arrived", path)
	}
	t.Logf("unsent %d of 400, arrived %d", len(unsent), s.arrived)
}

// A call whose check fails or whose deadline passes before the write must not reach
// the endpoint, even if the connection is already open.
func TestNothingIsSentOnceTheCheckFails(t *testing.T) {
	g := NewWithT(t)
	s := record(t)
	c := newClient(t)
	_, err := c.CallService(t.Context(), s.Addr().String(), client.ServiceCall{
		RequestID: "r", Method: http.MethodPost, Path: "/book", NonIdempotent: true, Deadline: time.Now().Add(time.Second),
		BeforeSend: func() error { return errors.New("weight is zero") },
	})
	g.Expect(failure.KindOf(err)).To(Equal(failure.Unsent))
	// A process that is paused during the check continues after the deadline.
	_, err = c.CallStage(t.Context(), s.Addr().String(), stagecall.Call{
		RequestID: "r", Stage: "s", Attempt: 1, NonIdempotent: true, Deadline: time.Now().Add(30 * time.Millisecond),
		BeforeSend: func() error { time.Sleep(60 * time.Millisecond); return nil },
	}, nil)
	g.Expect(failure.KindOf(err)).To(Equal(failure.Unsent))
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.arrived).To(BeZero())
}

// If no connection can be opened, the call is known not to have been sent.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	_, err = newClient(t).CallService(t.Context(), l.Addr().String(), client.ServiceCall{
		RequestID: "r", Method: http.MethodPost, Path: "/book", NonIdempotent: true, Deadline: time.Now().Add(time.Second),
	})
	g.Expect(failure.KindOf(err)).To(Equal(failure.Unsent))
}

type streamCase struct {
	Name    string
	From    int
	Events  []json.RawMessage
	Output  string
	Dropped int
	Kind    string
}

// Endpoints or proxies that repeat, swap, lose or misroute events must not corrupt
// a caller's output. Repeated events and events of other calls are ignored; any
// gap, truncation or error is a failure.
func TestStreamsAreAcceptedOnlyCompleteAndOwn(t *testing.T) {
	data, err := os.ReadFile("testdata/streams.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []streamCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for _, e := range c.Events {
					fmt.Fprintf(w, "data: %s\n\n", e)
				}
			}))
			defer s.Close()
			next := c.From
			response, err := newClient(t).CallStage(t.Context(), strings.TrimPrefix(s.URL, "http://"), stagecall.Call{
				RequestID: "r", Stage: "s", Attempt: 2, StartIndex: c.From, Deadline: time.Now().Add(time.Second),
			}, func(k stagecall.Token) error {
				g.Expect(k.Index).To(Equal(next))
				next++
				return nil
			})
			if c.Kind != "" {
				g.Expect(failure.KindOf(err).String()).To(Equal(c.Kind), "%v", err)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Output).To(Equal(c.Output))
			g.Expect(response.DroppedEvents).To(Equal(c.Dropped))
		})
	}
}

// A response that ends only with its connection may be truncated without any sign.
// It must not be accepted.
func TestResponseWithoutLengthIsLost(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buf, _ := w.(http.Hijacker).Hijack()
		defer conn.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nhalf an ans",
			client.HeaderRequest, r.Header.Get(client.HeaderRequest))
		buf.Flush()
	}))
	defer s.Close()
	_, err := newClient(t).CallService(t.Context(), strings.TrimPrefix(s.URL, "http://"), client.ServiceCall{
		RequestID: "r", Method: http.MethodGet, Path: "/status", Deadline: time.Now().Add(time.Second),
	})
	g.Expect(failure.KindOf(err)).To(Equal(failure.Lost))
}

// TestInvalidStatusIsNoReply guards against a status code for the caller that no HTTP answer can have, whatever else the
// response says.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for _, digits := range []string{"000", "042", "099", "101", "600", "999"} {
		for _, header := range []string{"X: y", client.HeaderNotRun + ": 1"} {
			t.Run(digits+" "+header, func(t *testing.T) {
				g := NewWithT(t)
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, buf, _ := w.(http.Hijacker).Hijack()
					defer conn.Close()
					fmt.Fprintf(buf, "HTTP/1.1 %s X\r\n%s: %s\r\n%s\r\nContent-Length: 6\r\n\r\nanswer", digits, client.HeaderRequest, r.Header.Get(client.HeaderRequest), header)
					buf.Flush()
				}))
				defer s.Close()
				_, err := newClient(t).CallService(t.Context(), s.Listener.Addr().String(), client.ServiceCall{
					RequestID: "r", Method: http.MethodGet, Path: "/status", Deadline: time.Now().Add(time.Second),
				})
				g.Expect(err).To(HaveOccurred())
				g.Expect(failure.KindOf(err)).To(Equal(failure.Lost), "got %v", err)
			})
		}
	}
}

// TestInvalidFieldNameIsNoReply guards against a response for a reply in whose head, or in that of an interim response before it, the
// name of a field is no token, whatever else the response says.
func TestInvalidFieldNameIsNoReply(t *testing.T) {
	const length = "Content-Length: 6\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX A: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX-A : 1\r\n" + length, "HTTP/1.1 500 X\r\nX-A : 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX\tA: 1\r\n" + length, "HTTP/1.1 200 OK\r\n: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + length, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + length,
		"HTTP/1.1 503 X\r\nX A: 1\r\n" + client.HeaderNotRun + ": 1\r\n" + length,
		"HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length, "HTTP/1.1 103 X\r\nX\x01A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
	} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, not idempotent: %t", head, nonIdempotent), func(t *testing.T) {
				g := NewWithT(t)
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, buf, _ := w.(http.Hijacker).Hijack()
					defer conn.Close()
					fmt.Fprintf(buf, "%s%s: %s\r\n\r\nanswer", head, client.HeaderRequest, r.Header.Get(client.HeaderRequest))
					buf.Flush()
				}))
				defer s.Close()
				_, err := newClient(t).CallService(t.Context(), s.Listener.Addr().String(), client.ServiceCall{
					RequestID: "r", Method: http.MethodGet, Path: "/status", Deadline: time.Now().Add(time.Second), NonIdempotent: nonIdempotent,
				})
				g.Expect(err).To(HaveOccurred())
				g.Expect(failure.KindOf(err)).To(Equal(failure.Lost), "got %v", err)
			})
		}
	}
}

// TestInterimResponsesWithoutEnd guards against waiting for a response until the deadline while interim ones come.
func TestInterimResponsesWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		defer conn.Close()
		for {
			if _, err := io.WriteString(conn, "HTTP/1.1 103 X\r\nX-A: 1\r\n\r\n"); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	_, err := newClient(t).CallService(t.Context(), s.Listener.Addr().String(), client.ServiceCall{
		RequestID: "r", Method: http.MethodGet, Path: "/status", Deadline: time.Now().Add(time.Minute),
	})
	g.Expect(failure.KindOf(err)).To(Equal(failure.Lost), "got %v", err)
}

// If the connection of a complete stream were not drained, each call would open a
// new one. Cancel must name the request, the stage and the attempt.
func TestStreamsReuseConnectionsAndCancelReachesTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	conns := map[string]bool{}
	deleted := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			deleted <- r.URL.Path
			return
		}
		mu.Lock()
		conns[r.RemoteAddr] = true
		mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, `data: {"request":"r","stage":"s","attempt":1,"done":true}`+"\n\n")
		http.NewResponseController(w).Flush()
	}))
	defer s.Close()
	c := newClient(t)
	call := stagecall.Call{RequestID: "r", Stage: "s", Attempt: 1, Deadline: time.Now().Add(5 * time.Second)}
	for range 10 {
		_, err := c.CallStage(t.Context(), s.Listener.Addr().String(), call, nil)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Millisecond)
	}
	mu.Lock()
	g.Expect(len(conns)).To(BeNumerically("<", 10))
	mu.Unlock()
	c.Cancel(s.Listener.Addr().String(), call)
	g.Eventually(deleted).Should(Receive(Equal("/v1/stages/r/s/1")))
}
