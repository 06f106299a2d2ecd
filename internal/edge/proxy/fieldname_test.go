package proxy_test

// This file tests responses with names of header fields that are not valid in HTTP.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// respondWithHead returns a script that writes a signed response with more lines in its head, and its body as it is. It
// closes the connection if that ends the body.
func respondWithHead(status int, lines, body string, closes bool) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%sId: %s\r\nSigned: 1\r\n\r\n%s", status, lines, r.Header.Get("Id"), body)
		if closes {
			io.Copy(io.Discard, r.Body)
			w.Close()
		}
	}
}

// interim returns a script that writes an interim response with some lines before the response of another one.
func interim(lines string, next script) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 103 X\r\n%s\r\n", lines)
		next(w, r)
	}
}

// TestInvalidFieldNames guards against a response for an answer in whose head the name of a field is no token: the line was
// passed on, or the body was not the endpoint's, as the field that delimits it was not known. The request may have run.
func TestInvalidFieldNames(t *testing.T) {
	whole := respond(http.StatusOK, "Signed: 1\r\n", events(0, 4))
	withLength := "Content-Length: 4\r\n"
	heads := map[string]script{
		"blank inside, ended by the connection": respondWithHead(200, "X A: 1\r\n", "body", true),
		"length with a blank":                   respondWithHead(200, "Content-Length : 4\r\n", "bodyREST", true),
		"chunks with a blank":                   respondWithHead(200, "Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", true),
		"chunks with a blank and a length":      respondWithHead(200, withLength+"Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", false),
		"chunks with a blank on a folded line":  respondWithHead(200, "Transfer-Encoding\r\n : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", true),
		"refused, blank inside":                 respondWithHead(503, "Refused: 1\r\nX A: 1\r\n"+withLength, "body", false),
		"interim, blank inside":                 interim("X A: 1\r\n", respondWithHead(200, withLength, "body", false)),
		"interim, length with a blank":          interim("Content-Length : 4\r\n", respondWithHead(200, withLength, "body", false)),
		"interim, control byte":                 interim("X\x01A: 1\r\n", respondWithHead(200, withLength, "body", false)),
		"blank before all names":                respondWithHead(200, " X-A: 1\r\n"+withLength, "body", false),
		"length with a blank beside another":    respondWithHead(200, "Content-Length : 4\r\nContent-Length: 4\r\n", "body", false),
	}
	for _, line := range []string{"X A: 1", "X-A : 1", "X\tA: 1", "X-A\t: 1", "X\x01A: 1", "X\x00A: 1", "X\x7fA: 1", "X\rA: 1", "X\xe4A: 1", ": 1", "X(A): 1"} {
		for _, status := range []int{200, 400, 500, 503} {
			heads[fmt.Sprintf("%q, status %d", line, status)] = respondWithHead(status, line+"\r\n"+withLength, "body", false)
		}
	}
	for name, head := range heads {
		for kind, second := range map[catalog.Kind]script{catalog.Idempotent: whole, catalog.Stream: whole, catalog.NonIdempotent: nil} {
			for _, elsewhere := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, other instance: %t", name, kind, elsewhere), func(t *testing.T) {
					t.Parallel()
					scripts := []script{head}
					if second != nil {
						scripts = append(scripts, second)
					}
					h := newHarness(t, 2, scripts...)
					if elsewhere {
						h.cutOff(t, 2)
					}
					start := time.Now()
					w, err := h.serveRequest(kind, 2, true)
					h.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second), "the deadline is not awaited")
					h.g.Expect(h.sent()).To(gomega.Equal(len(scripts)))
					if second == nil {
						h.g.Expect(fault.From(err).Code).To(gomega.Equal(code.AnswerLost), "got %v", err)
						h.g.Expect(w.Body.String()).To(gomega.BeEmpty())
						return
					}
					h.g.Expect(err).NotTo(gomega.HaveOccurred())
					h.g.Expect(w.Body.String()).To(gomega.Equal(events(0, 4)))
					h.g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
				})
			}
		}
	}
}

// TestUnusualHeads guards against rejecting what HTTP allows, and against passing on what it says to leave out: a folded line
// is one line, chunks go before a length, and what follows the last chunk is no part of the answer.
func TestUnusualHeads(t *testing.T) {
	for _, c := range []struct {
		name  string
		first script
		want  http.Header // beside the length and the signature
	}{
		{"folded line", respondWithHead(200, "X-A: 1\r\n 2\r\nContent-Length: 4\r\n", "body", false), http.Header{"X-A": {"1 2"}}},
		{"length beside chunks", respondWithHead(200, "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", false), nil},
		{"trailer", respondWithHead(200, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nX-A: 1\r\n\r\n", false), nil},
		{"trailer with a blank in a name", respondWithHead(200, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nX A: 1\r\nX-B : 1\r\n\r\n", false), nil},
		{"all the bytes of a token", respondWithHead(200, "!#$%&'*+-.^_`|~0a: 1\r\nContent-Length: 4\r\n", "body", false), http.Header{"!#$%&'*+-.^_`|~0a": {"1"}}},
		{"interim", interim("X-A: 1\r\n", respondWithHead(200, "Content-Length: 4\r\n", "body", false)), nil},
	} {
		for _, elsewhere := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, other instance: %t", c.name, elsewhere), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, 2, c.first)
				if elsewhere {
					h.cutOff(t, 2)
				}
				w, err := h.serveRequest(catalog.NonIdempotent, 1, false)
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
				h.g.Expect(w.Body.String()).To(gomega.Equal("body"))
				got := w.Header()
				h.g.Expect(got.Get("Content-Length")).To(gomega.Equal("4"))
				for _, name := range []string{"Content-Length", "Signed"} {
					got.Del(name)
				}
				h.g.Expect(len(got)).To(gomega.Equal(len(c.want)), "%v", got)
				for name, values := range c.want {
					h.g.Expect(got[name]).To(gomega.Equal(values))
				}
			})
		}
	}
}
