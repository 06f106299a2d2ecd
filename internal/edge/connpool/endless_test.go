package connpool_test

// This file tests endpoints that send bytes without end.

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// endless listens on loopback, and sends each caller the start and then the rest, again and
// again until the caller closes. It reports the bytes that it sent to the first caller.
func endless(t *testing.T, start, rest string) (address string, sent chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	sent = make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := io.WriteString(c, start)
		for block := bytes.Repeat([]byte(rest), 64<<10/len(rest)); ; {
			k, err := c.Write(block)
			n += k
			if err != nil {
				sent <- n
				return
			}
		}
	}()
	return l.Addr().String(), sent
}

// TestEndlessHead guards against an endpoint whose bytes are no answer and never end: the
// memory of the instance must not grow with them, and the connection must be closed soon.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ start, rest string }{
		"no line end":        {"", "x"},
		"headers":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header":         {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"answers of another": {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, sent := endless(t, c.start, c.rest)
			pool, closePool := connpool.New(connpool.NewDial(), nil)
			defer closePool()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			start, before := time.Now(), allocated()
			_, err := pool.Send(ctx, &connpool.Request{
				EndpointName: "e", Address: address, Method: http.MethodGet, Target: "/", Host: "h", Matches: func(h http.Header) bool { return h.Get("Id") != "" },
			})
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
			g.Expect(allocated()-before).To(BeNumerically("<", 8<<20), "bytes allocated for the head")
			g.Eventually(sent, 5*time.Second).Should(Receive(), "the connection is closed")
		})
	}
}

// allocated returns the bytes allocated so far.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
