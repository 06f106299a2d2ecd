// Package client sends calls to endpoints and accepts only whole answers that
// carry the identity of the call. A failure tells whether a byte of the call
// may have left.
package client

// This file defines Client, its construction and the sending of requests.

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Limits of connections and answers.
const (
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	idlePerHost   = 64
	headerTimeout = 60 * time.Second
	mostHeader    = 64 << 10 // bytes
	mostAnswer    = 8 << 20  // bytes
	mostRefusal   = 4 << 10  // bytes kept of an error body
)

// HeaderNotRun is set by an endpoint that refuses before running.
const HeaderNotRun = "Jacinthstile-Not-Run"

// Client sends calls over pooled connections, and calls that may be sent only
// once over a connection of their own.
type Client struct {
	pooled *http.Transport
	single *http.Transport

	running sync.WaitGroup // what goes on in the background
	mu      sync.Mutex
	behind  int // how many of it
	closed  bool
}

// New returns a client and a function that closes its idle connections and
// waits for what it does in the background.
func New() (*Client, func()) {
	c := &Client{pooled: newTransport(), single: newTransport()}
	// net/http repeats a request by itself only on a reused connection.
	c.single.DisableKeepAlives = true
	return c, c.close
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &wire{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: mostHeader,
		DisableCompression:     true,
	}
}

// request is one HTTP request to an endpoint.
type request struct {
	method string
	url    string
	header http.Header
	body   []byte
	once   bool         // may leave at most once
	check  func() error // asked just before the first byte; may be nil
}

// send sends a request and classifies what goes wrong before the answer's
// headers. Redirects are not followed. The body is given as a reader without a
// replay function, so that the transport never repeats it.
func (c *Client) send(ctx context.Context, q request) (*http.Response, error) {
	s := &sending{once: q.once, check: q.check}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if w, ok := info.Conn.(*wire); ok {
			w.current.Store(s)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), q.method, q.url, nil)
	if err != nil {
		return nil, failure.New(failure.Unsent, err, "building request")
	}
	if len(q.body) > 0 {
		req.Body = hidden(q.body)
		req.ContentLength = int64(len(q.body))
	}
	if q.header != nil {
		req.Header = q.header
	}
	transport := c.pooled
	if q.once {
		transport = c.single
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, classify(ctx, err, s)
	}
	return resp, nil
}

// hidden hides the type of the reader, since net/http repeats bodies that it recognises.
func hidden(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

// classify turns a transport's error into a failure. It revokes the right to
// send first: the transport's writer may still be at work when its error returns.
func classify(ctx context.Context, err error, s *sending) error {
	switch {
	case s.revoke():
		return failure.New(failure.Unsent, err, "sending")
	case ctx.Err() != nil:
		return failure.New(failure.Late, context.Cause(ctx), "waiting for the answer")
	default:
		return failure.New(failure.Lost, err, "waiting for the answer")
	}
}

// refusal reads an answer with an error status.
func refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, mostRefusal))
	kind := failure.Errored
	if resp.Header.Get(HeaderNotRun) != "" {
		kind = failure.Refused
	}
	return failure.New(kind, nil, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}
