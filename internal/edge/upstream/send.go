package upstream

// This file defines Request, Answer and Send.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Request is one request for one endpoint.
type Request struct {
	Name    string // of the endpoint, as it keys the pool
	Address string
	Method  string
	Target  string // path and query, sent unchanged
	Host    string
	Header  http.Header
	Body    []byte
	// Own reports whether an answer belongs to the request. Other answers on
	// the connection are passed over; nil accepts any.
	Own func(http.Header) bool
}

// Answer is the head of an endpoint's answer with its body still to be read.
// Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	Reused bool // whether the connection had carried requests before

	pool    *Pool
	conn    *conn
	resp    *http.Response
	written chan error // of a body that is still being sent; nil otherwise
	stop    func() bool
	whole   bool
}

// Send sends a request and reads the head of its answer. Ending the context
// closes the connection, also while the body is read. The error is a
// *failure.Failure: Unsent where no byte left, Late where the context ended,
// and Lost otherwise.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Name, r.Address)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c, Reused: c.reused}
	a.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := a.exchange(r); err != nil {
		a.stop()
		c.Close()
		if ctx.Err() != nil {
			return nil, failure.New(failure.Late, ctx.Err(), "waiting for %s", r.Address)
		}
		return nil, err
	}
	return a, nil
}

func (a *Answer) exchange(r *Request) error {
	head := head(r)
	if len(r.Body) <= inlineUpload {
		if n, err := a.conn.Write(append(head, r.Body...)); err != nil {
			return sendFailure(n, err, r.Address)
		}
	} else {
		if n, err := a.conn.Write(head); err != nil {
			return sendFailure(n, err, r.Address)
		}
		a.written = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(r.Body)
			a.written <- err
		}()
	}
	return a.read(r)
}

func sendFailure(n int, err error, address string) error {
	if n == 0 {
		return failure.New(failure.Unsent, err, "sending to %s", address)
	}
	return failure.New(failure.Lost, err, "sending to %s", address)
}

// read takes the head of the request's own answer. An extra answer to an
// earlier request may come first.
func (a *Answer) read(r *Request) error {
	for range mostStray + 1 {
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: r.Method})
		if err != nil {
			return failure.New(failure.Lost, err, "reading the answer of %s", r.Address)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Own == nil || r.Own(resp.Header) {
			a.Status, a.Header, a.resp = resp.StatusCode, resp.Header, resp
			a.Body = watched{a}
			return nil
		}
		if !a.Reused {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			break
		}
	}
	return failure.New(failure.Foreign, nil, "the answer of %s belongs to another request", r.Address)
}

// watched notes when the body has been read to its end.
type watched struct{ a *Answer }

// Read reads from the body.
func (w watched) Read(b []byte) (int, error) {
	n, err := w.a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		w.a.whole = true
	}
	return n, err
}

// Close ends the use of the answer. The connection is kept only if the answer
// was read to its end, nothing follows it and the request was sent whole.
func (a *Answer) Close() {
	stopped := a.stop()
	if stopped && a.whole && !a.resp.Close && a.conn.br.Buffered() == 0 && a.sent() && a.conn.keeps(a.Header, time.Now()) {
		a.pool.put(a.conn)
		return
	}
	a.conn.Close()
}

func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// head writes the request line and the headers. Values come from parsed
// requests, so they hold no line breaks.
func head(r *Request) []byte {
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
		panic("upstream: writing headers to memory: " + err.Error())
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
