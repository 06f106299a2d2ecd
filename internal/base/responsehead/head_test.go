package responsehead_test

// This file tests responses whose heads are not valid.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/responsehead"
)

// answering returns a transport whose requests all get the same bytes, and then the end of the connection.
func answering(answer string) *http.Transport {
	return &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				io.WriteString(far, answer)
			}
		}()
		return near, nil
	}}
}

// TestTransport guards against a response for an answer in whose head, or in that of an interim response before it, the name
// of a field is no token, against interim responses without end, and against rejecting what HTTP allows.
func TestTransport(t *testing.T) {
	const rest, interim = "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 103 X\r\n\r\n"
	for _, c := range []struct {
		answer string
		valid  bool
	}{
		{"HTTP/1.1 200 OK\r\nX-A: 1\r\n" + rest, true},
		{"HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\n" + rest, true},
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0a: 1\r\n" + rest, true},
		{"HTTP/1.1 103 X\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, true},
		{"HTTP/1.1 200 OK\r\nX A: 1\r\n" + rest, false},
		{"HTTP/1.1 200 OK\r\nX-A : 1\r\n" + rest, false},
		{"HTTP/1.1 500 X\r\nX-A : 1\r\n" + rest, false},
		{"HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + rest, false},
		{"HTTP/1.1 200 OK\r\nX\tA: 1\r\n" + rest, false},
		{"HTTP/1.1 200 OK\r\n: 1\r\n" + rest, false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodyREST", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{strings.Repeat(interim, 10) + "HTTP/1.1 200 OK\r\n" + rest, true},
		{strings.Repeat(interim, 11) + "HTTP/1.1 200 OK\r\n" + rest, false},
		{"HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, false},
	} {
		t.Run(c.answer, func(t *testing.T) {
			g := NewWithT(t)
			client := &http.Client{Transport: responsehead.Transport{Base: answering(c.answer)}}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://endpoint/")
			if !c.valid {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("body"))
		})
	}
}
