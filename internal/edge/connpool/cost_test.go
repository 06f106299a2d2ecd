package connpool_test

// This file measures what answers without a length take.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// BenchmarkAnswerWithoutLength measures a request on a new connection whose answer ends with it.
func BenchmarkAnswerWithoutLength(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.Copy(io.Discard, r.Body)
					io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
				}
			}()
		}
	}()
	pool, closePool := connpool.New(connpool.NewDial(), nil)
	defer closePool()
	r := &connpool.Request{EndpointName: "e", Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 300)}
	for b.Loop() {
		resp, err := pool.Send(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || len(body) != len("answer") {
			b.Fatalf("got %d bytes, %v", len(body), err)
		}
		resp.Close()
	}
}
