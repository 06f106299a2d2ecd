package connpool_test

// This file feeds arbitrary bytes to the reader of responses.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// FuzzResponse guards against responses with a status that no answer can have or with a name of a field that is no token, and
// against bytes that end the process.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.0 200 OK\r\n\r\nx", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 X\r\nX A: 1\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length : 1\r\n\r\nxy",
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		pool, closePool := connpool.New(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					far.Write(answer)
				}
			}()
			return near, nil
		}, nil)
		defer closePool()
		resp, err := pool.Send(t.Context(), &connpool.Request{EndpointName: "e", Address: "e", Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			return
		}
		defer resp.Close()
		if resp.Status < 200 || resp.Status > 599 {
			t.Errorf("got status %d, want one of an answer", resp.Status)
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("got a field named %q, want a token", name)
			}
		}
		io.Copy(io.Discard, resp.Body)
	})
}
