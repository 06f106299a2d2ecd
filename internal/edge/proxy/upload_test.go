package proxy_test

// This file tests endpoints that answer while the body of the request is still being written.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

const (
	uploadBytes  = 8 << 20 // more than the buffers of a connection take, of which the endpoint's is small
	smallBuffer  = 64 << 10
	untilBlocked = 20 * time.Millisecond
	untilGivenUp = 2 * time.Second
)

// ending is how an endpoint ends its answer.
type ending int

const (
	reset     ending = iota // the connection is reset
	halfClose               // nothing follows, and the rest of the request is read
	stall                   // nothing follows, and the rest of the request is not read
)

// answerEarly returns a script that writes a response without a length before it reads the body of the
// request.
func answerEarly(proto string, status int, body string, end ending) script {
	return func(w net.Conn, r *http.Request) {
		tcp := w.(*net.TCPConn)
		tcp.SetReadBuffer(smallBuffer)
		fmt.Fprintf(w, "%s %d X\r\nId: %s\r\nSigned: 1\r\n\r\n%s", proto, status, r.Header.Get("Id"), body)
		time.Sleep(untilBlocked)
		if end == reset {
			tcp.SetLinger(0)
			tcp.Close()
			return
		}
		tcp.CloseWrite()
		if end == stall {
			time.Sleep(untilGivenUp)
		}
		io.Copy(io.Discard, r.Body)
	}
}

// upload serves a request with a body of a number of bytes.
func (h *harness) upload(kind catalog.Kind, size int) (*httptest.ResponseRecorder, error) {
	req := newRequest(kind, 2, true)
	req.Method, req.Body = http.MethodPost, bytes.Repeat([]byte("x"), size)
	w := httptest.NewRecorder()
	return w, h.proxy.Serve(context.Background(), req, w)
}

// uploadCase is a request with a body, and what its endpoints do.
type uploadCase struct {
	name     string
	kind     catalog.Kind
	slowness slowness
	first    script
	next     script // nil if no second endpoint may be asked
	want     string // empty if the request ends as one that may have run
}

// run serves the request here and by way of another instance.
func (c uploadCase) run(t *testing.T, size int) {
	for _, elsewhere := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s, %d bytes, other instance: %t", c.name, size, elsewhere), func(t *testing.T) {
			t.Parallel()
			scripts := []script{c.first}
			if c.next != nil {
				scripts = append(scripts, c.next)
			}
			h := newHarness(t, 2, scripts...)
			h.slowness = c.slowness
			if elsewhere {
				h.cutOff(t, 2)
			}
			start := time.Now()
			w, err := h.upload(c.kind, size)
			h.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", untilGivenUp), "the deadline is not awaited")
			h.g.Expect(h.sent()).To(gomega.Equal(len(scripts)))
			h.g.Expect(w.Body.String()).To(gomega.Equal(c.want))
			if c.want == "" {
				h.g.Expect(fault.From(err).Code).To(gomega.BeElementOf(code.AnswerLost, code.AnswerBad), "got %v", err)
				return
			}
			h.g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// TestAnswersBeforeTheUploadEnds guards against taking the part of an answer for all of it: the endpoint reset the connection,
// and the write of the body took the error, so that reading found a clean end. A whole answer is passed on.
func TestAnswersBeforeTheUploadEnds(t *testing.T) {
	const h11, h10 = "HTTP/1.1", "HTTP/1.0"
	begun, inTime := events(0, 2), slowness{}
	for _, c := range []uploadCase{
		{"reset", catalog.Idempotent, inTime, answerEarly(h11, 200, "who", reset), respond(200, "Signed: 1\r\n", "whole"), "whole"},
		{"reset, HTTP/1.0", catalog.Idempotent, inTime, answerEarly(h10, 200, "who", reset), respond(200, "Signed: 1\r\n", "whole"), "whole"},
		{"reset, status 400", catalog.Idempotent, inTime, answerEarly(h11, 400, "who", reset), respond(200, "Signed: 1\r\n", "whole"), "whole"},
		{"reset, status 500", catalog.Idempotent, inTime, answerEarly(h11, 500, "who", reset), respond(200, "Signed: 1\r\n", "whole"), "whole"},
		{"reset, not repeatable", catalog.NonIdempotent, inTime, answerEarly(h11, 200, "who", reset), nil, ""},
		{"reset, not repeatable, status 400", catalog.NonIdempotent, inTime, answerEarly(h11, 400, "who", reset), nil, ""},
		{"reset, stream", catalog.Stream, inTime, answerEarly(h11, 200, begun, reset), streamEvents(3, 4, true), events(0, 4)},
		{"whole, rest of the request read", catalog.NonIdempotent, inTime, answerEarly(h11, 200, "whole", halfClose), nil, "whole"},
		{"whole stream, rest of the request read", catalog.Stream, inTime, answerEarly(h11, 200, begun, halfClose), nil, begun},
		{"rest of the request not read", catalog.NonIdempotent, inTime, answerEarly(h11, 200, "who", stall), nil, ""},
		{"with a length, rest of the request not read", catalog.NonIdempotent, inTime, respond(200, "Signed: 1\r\n", "whole"), nil, "whole"},
	} {
		c.run(t, uploadBytes)
	}
}

// endsBeforeUpload returns a script that writes a response without a length and ends its direction of the connection,
// which it closes as soon as rest bytes of the request's body were read: what comes then is answered by a reset. The
// connection is reset at once if rest is negative.
func endsBeforeUpload(status int, body string, rest int64) script {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: 1\r\n\r\n%s", status, r.Header.Get("Id"), body)
		tcp := w.(*net.TCPConn)
		if rest < 0 {
			tcp.CloseWrite()
			tcp.SetLinger(0)
		} else {
			io.CopyN(io.Discard, r.Body, rest)
		}
		tcp.Close()
	}
}

// TestEndsBeforeResets guards against taking the part of an answer for all of it whose end is read before the reset that
// follows it: the request was written into the buffer of the connection, and the endpoint has never got it, or has reset
// the connection after it got it.
func TestEndsBeforeResets(t *testing.T) {
	begun, rest := events(0, 2), streamEvents(3, 4, true)
	whole := respond(200, "Signed: 1\r\n", "whole")
	lateUpload := slowness{upload: 2 * untilBlocked} // by which the end has arrived, and the connection is closed
	lateEnd := slowness{end: 10 * untilBlocked}      // by which the reset has arrived
	for _, size := range []int{0, 300, 40_000, 300_000} {
		all := int64(size)
		for _, c := range []uploadCase{
			{"reset after the end", catalog.Idempotent, lateEnd, endsBeforeUpload(200, "who", -1), whole, "whole"},
			{"reset after the end, status 400", catalog.Idempotent, lateEnd, endsBeforeUpload(400, "who", -1), whole, "whole"},
			{"reset after the end, status 500", catalog.Idempotent, lateEnd, endsBeforeUpload(500, "who", -1), whole, "whole"},
			{"reset after the end, not repeatable", catalog.NonIdempotent, lateEnd, endsBeforeUpload(200, "who", -1), nil, ""},
			{"reset after the end, stream", catalog.Stream, lateEnd, endsBeforeUpload(200, begun, -1), rest, events(0, 4)},
			{"closed before the upload", catalog.Idempotent, lateUpload, endsBeforeUpload(200, "who", 0), whole, "whole"},
			{"closed before the upload, not repeatable", catalog.NonIdempotent, lateUpload, endsBeforeUpload(200, "who", 0), nil, ""},
			{"closed before the upload, stream", catalog.Stream, lateUpload, endsBeforeUpload(200, begun, 0), rest, events(0, 4)},
			{"closed after the upload", catalog.NonIdempotent, lateUpload, endsBeforeUpload(200, "whole", all), nil, "whole"},
			{"closed after the upload, end read late", catalog.NonIdempotent, lateEnd, endsBeforeUpload(200, "whole", all), nil, "whole"},
			{"closed after the upload, stream", catalog.Stream, lateEnd, endsBeforeUpload(200, begun, all), nil, begun},
		} {
			if c.slowness != lateUpload || size >= 40_000 { // smaller ones are written at once with the head
				c.run(t, size)
			}
		}
	}
}
