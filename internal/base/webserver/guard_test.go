package webserver_test

// This file tests servers whose connections and memory are bounded.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/base/guard"
	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
)

// startGuarded serves a handler that reads bodies. On the path /wait it blocks until release is closed, and on /skip it
// returns as it sends on release.
func startGuarded(t *testing.T, limit int64, conns int) (address string, release chan struct{}) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	release = make(chan struct{})
	s, closeServer := webserver.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			<-release
			return
		}
		if r.URL.Path == "/skip" {
			release <- struct{}{}
			return
		}
		if _, err := webserver.ReadBody(w, r, 1<<30, time.Now().Add(time.Minute)); errors.Is(err, webserver.ErrNoMemory) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}, guard.New(limit, nil, logr.Discard(), tally.NoopScope), conns)
	t.Cleanup(closeServer)
	go s.Serve(s.Listen(l))
	return l.Addr().String(), release
}

func send(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	return c
}

// statusOf returns the status of the next response, or 0 if the connection was closed.
func statusOf(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestRunningRequestKeepsItsConnection guards against a connection that is closed for a new one although its
// request may have run.
func TestRunningRequestKeepsItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address, release := startGuarded(t, 1<<20, 1)
	running := send(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	br := bufio.NewReader(running)
	resp, err := http.ReadResponse(br, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(statusOf(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))).To(gomega.Equal(0), "one more")
	close(release)
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the answer is complete")
	g.Eventually(func() int { return statusOf(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")) }, 5*time.Second).Should(gomega.Equal(http.StatusOK))
}

// TestSlowBodyIsRead guards against an honest caller with a slow link that is refused.
func TestSlowBodyIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := startGuarded(t, 1<<20, 10)
	const pieces, pieceBytes = 8, 1000
	c := send(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes))
	for range pieces {
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(c, strings.Repeat("x", pieceBytes))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(statusOf(c)).To(gomega.Equal(http.StatusOK))
}

// TestBodyThatStopsIsRefused guards against a body that stops before its end and keeps the memory that the next
// one needs. The one that stops is told that it did not run.
func TestBodyThatStopsIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := startGuarded(t, 1<<20, 10)
	post := func(length, sent int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	}
	stopped := send(t, address, post(900_000, 899_999))
	time.Sleep(2500 * time.Millisecond) // longer than a client may stall
	g.Expect(statusOf(send(t, address, post(900_000, 900_000)))).To(gomega.Equal(http.StatusOK))
	g.Expect(statusOf(stopped)).To(gomega.Equal(http.StatusServiceUnavailable))
}

// TestUnreadBodyKeepsItsMemory guards against requests that are answered before their body has come and whose heads count as
// released while the server still holds them. One that has to go for others gets its answer.
func TestUnreadBodyKeepsItsMemory(t *testing.T) {
	const fields = 3000 // more than half of the limit
	g := gomega.NewWithT(t)
	address, skipped := startGuarded(t, 1<<20, 10)
	var head strings.Builder
	for i := range fields {
		fmt.Fprintf(&head, "a%x:x\r\n", i)
	}
	post := "POST /skip HTTP/1.1\r\nHost: h\r\n" + head.String() + "Content-Length: 2\r\n\r\nx"
	first := send(t, address, post)
	<-skipped
	g.Expect(statusOf(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))).To(gomega.Equal(http.StatusOK))
	send(t, address, post)
	<-skipped
	first.SetDeadline(time.Now().Add(2500 * time.Millisecond)) // half of the time in which the rest of the body may come
	g.Expect(statusOf(first)).To(gomega.Equal(http.StatusOK))
	g.Expect(statusOf(first)).To(gomega.Equal(0), "the connection")
}
