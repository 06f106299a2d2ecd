package connpool

// This file defines Request, Response and Send.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/responsehead"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/statuscode"
)

// Request is an HTTP request to one endpoint.
type Request struct {
	EndpointName string // key of the endpoint's connections in the pool
	Address      string // host:port to dial
	Method       string
	Target       string // path and query, sent unchanged
	Host         string
	Header       http.Header
	Body         []byte
	// ID is the id by which Matches knows the responses to the request. It is
	// empty if responses name no request.
	ID string
	// Matches reports whether a response with the given headers belongs to the
	// request. On a reused connection, responses that do not are skipped. If it
	// is nil, every response is accepted.
	Matches func(http.Header) bool
}

// Response is the response of an endpoint, with its body still to be read.
// Close must be called exactly once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Reused bool // whether the connection had carried a request before

	Connection uint64 // number of the connection among those of the pool
	Skipped    int    // responses to other requests that came before it

	pool      *Pool
	conn      *conn
	raw       *http.Response
	upload    *upload // nil if the body was written before reading
	stopWatch func() bool
	bodyRead  bool
	aborted   bool
}

// Send sends a request and reads the status line and headers of the response.
// When the context ends, the connection is closed, even while the body is being
// read. The error is a *failure.Failure, whose kind is Unsent if no byte was
// written, Late if the context ended after the connection was established,
// Foreign if only responses to other requests arrived, and Lost otherwise.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	id := hashID(r.ID)
	c, err := p.get(ctx, r.EndpointName, r.Address, id)
	if err != nil {
		return nil, err
	}
	c.remember(id)
	resp := &Response{pool: p, conn: c, Reused: c.reused, Connection: c.number}
	p.observer.Started(c.name, time.Now())
	resp.stopWatch = context.AfterFunc(ctx, func() { c.Close() })
	if err := resp.roundTrip(r); err != nil {
		resp.stopWatch()
		c.Close()
		p.observer.Ended(c.name)
		if ctx.Err() != nil {
			return nil, failure.New(failure.Late, ctx.Err(), "waiting for %s", r.Address)
		}
		return nil, err
	}
	return resp, nil
}

// roundTrip writes the request and reads the head of the response. A large body
// is written in the background.
func (resp *Response) roundTrip(r *Request) error {
	head := requestHead(r)
	if len(r.Body) <= maxInlineBodyBytes {
		if n, err := resp.conn.Write(append(head, r.Body...)); err != nil {
			return writeFailure(n, err, r.Address)
		}
	} else {
		if n, err := resp.conn.Write(head); err != nil {
			return writeFailure(n, err, r.Address)
		}
		resp.upload = startUpload(resp.conn, r.Body)
	}
	return resp.readHead(r)
}

// writeFailure returns the failure of a write that ended after n bytes.
func writeFailure(n int, err error, address string) error {
	if n == 0 {
		return failure.New(failure.Unsent, err, "sending to %s", address)
	}
	return failure.New(failure.Lost, err, "sending to %s", address)
}

// readHead reads the status line and headers of the response to r. It skips
// interim responses and, on a reused connection, late or duplicate responses to
// earlier requests. Bytes that are no response may come without end.
func (resp *Response) readHead(r *Request) error {
	limit := resp.conn.limit
	defer func() { limit.left = math.MaxInt64 }() // callers limit the body
	for range maxForeignResponses + 1 {
		limit.left = maxHeadBytes
		raw, err := http.ReadResponse(resp.conn.br, &http.Request{Method: r.Method})
		if err != nil {
			return failure.New(failure.Lost, err, "reading the answer of %s", r.Address)
		}
		resp.pool.observer.Heard(resp.conn.name, time.Now())
		if err := responsehead.Check(raw.Header); err != nil {
			return failure.New(failure.Lost, err, "reading the answer of %s", r.Address)
		}
		status := statuscode.Code(raw.StatusCode)
		if status.IsInterim() {
			continue
		}
		if !status.IsFinal() {
			return failure.New(failure.Lost, nil, "got status %03d from %s, want one of an answer", status, r.Address)
		}
		if r.Matches == nil || r.Matches(raw.Header) {
			resp.Status, resp.Header, resp.raw = raw.StatusCode, raw.Header, raw
			resp.Body = bodyReader{resp}
			return nil
		}
		if !resp.Reused {
			break
		}
		resp.Skipped++
		limit.left = maxForeignBytes
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			break
		}
	}
	return failure.New(failure.Foreign, nil, "the answer of %s belongs to another request", r.Address)
}

// bodyReader reads the body of a response and records in bodyRead that its end
// was reached. If the body ends with the connection, this is its end only if the
// endpoint has acknowledged the request and not reset the connection: reading finds a
// clean end if the reset comes after it, or if the write of the request has taken the error.
type bodyReader struct{ resp *Response }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.resp.raw.Body.Read(p)
	if n > 0 {
		b.resp.pool.observer.Heard(b.resp.conn.name, time.Now())
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !b.resp.bodyRead && !b.resp.IsFramed() {
		if err := b.resp.confirmEnd(); err != nil {
			return n, err
		}
	}
	b.resp.bodyRead = true
	return n, io.EOF
}

// Close ends the use of the response. Its connection returns to the pool only
// if the body was read to the end, no data follows it, the request was written
// completely, and the endpoint and the requests so far allow reuse. Otherwise the
// connection is closed.
func (resp *Response) Close() {
	stopped := resp.stopWatch()
	resp.pool.observer.Ended(resp.conn.name)
	if stopped && !resp.aborted && resp.isComplete() && !resp.conn.isWornOut() && resp.conn.setExpiry(resp.Header, time.Now()) {
		resp.pool.put(resp.conn)
		return
	}
	resp.conn.Close()
}

// IsFramed reports whether the response states where its body ends. Otherwise it ends with the
// connection, and a body that was cut short may look whole.
func (resp *Response) IsFramed() bool {
	return resp.raw.ContentLength >= 0 || len(resp.raw.TransferEncoding) > 0 || resp.raw.Body == http.NoBody
}

// Identify records an id that only this response has. It returns false if an earlier response
// on the same connection had it: this one is a late copy then.
func (resp *Response) Identify(id string) bool {
	h := hashID(id)
	if resp.conn.hasCarried(h) {
		return false
	}
	resp.conn.remember(h)
	return true
}

// Abort makes Close close the connection, since the response is not the one that was
// expected, or a late copy of it would not be recognized.
func (resp *Response) Abort() { resp.aborted = true }

// isComplete reports whether the request has been written and the response read to their ends, and
// the connection can carry more.
func (resp *Response) isComplete() bool {
	return resp.bodyRead && !resp.raw.Close && resp.conn.br.Buffered() == 0 && resp.upload.isSent()
}

// requestHead encodes the request line and the headers of a request, and
// reserves capacity for the body. The values come from parsed requests, so they
// contain no line breaks.
func requestHead(r *Request) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if err := r.Header.Write(b); err != nil {
		panic("connpool: writing headers to memory: " + err.Error())
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
