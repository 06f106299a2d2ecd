// Package client sends calls to endpoints over HTTP. It accepts only complete
// responses that carry the identity of the call, and its errors, of type
// *failure.Failure, tell whether a byte of the call may have been sent. A
// non-idempotent call is written to at most one connection, whatever net/http
// retries.
package client

// This file defines Client and sends HTTP requests.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/responsehead"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/statuscode"
)

// Limits of connections and responses.
const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	headerTimeout  = 60 * time.Second
	maxHeader      = 64 << 10 // bytes of a response header
	maxResponse    = 8 << 20  // bytes of a response body
	maxErrorBody   = 4 << 10  // bytes read of the body of an error response
)

// HeaderNotRun is set in the response of an endpoint that refused a call without
// running it.
const HeaderNotRun = "Jacinthstile-Not-Run"

// Client sends calls over pooled connections. Calls that may be sent only once
// get a new connection each. It is safe for concurrent use.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport

	running    sync.WaitGroup // background tasks
	mu         sync.Mutex
	background int // number of background tasks
	closed     bool
}

// New returns a client and a function that waits for its background tasks and
// closes its idle connections.
func New() (*Client, func()) {
	c := &Client{pooled: newTransport(), unpooled: newTransport()}
	// net/http retries a request by itself only if it used a reused connection.
	c.unpooled.DisableKeepAlives = true
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
			guarded := &guardedConn{Conn: conn}
			guarded.sound.Store(true)
			return guarded, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxHeader,
		DisableCompression:     true,
	}
}

// request is one HTTP request to an endpoint.
type request struct {
	method string
	url    string
	header http.Header
	body   []byte
	once   bool         // sent at most once
	check  func() error // called just before the first byte is written; may be nil
}

// send sends a request and returns the response, whose head is that of an answer,
// once its headers have arrived. Errors are of type *failure.Failure. Redirects are not followed.
func (c *Client) send(ctx context.Context, q request) (*http.Response, error) {
	transport := c.pooled
	if q.once {
		transport = c.unpooled
	}
	s := &sendPermit{once: q.once, check: q.check}
	resp, err := q.roundTrip(ctx, transport, s)
	if err != nil && s.needsNewConn() {
		resp, err = q.roundTrip(ctx, c.unpooled, s)
	}
	if err != nil {
		return nil, classify(ctx, err, s)
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, failure.New(failure.Lost, err, "reading the answer")
	}
	if resp.StatusCode < http.StatusInternalServerError && resp.Header.Get(HeaderNotRun) == "" {
		s.release()
	}
	return resp, nil
}

// checkHead returns an error if the head of a response can't be that of an answer.
func checkHead(resp *http.Response) error {
	if !statuscode.Code(resp.StatusCode).IsFinal() {
		return fmt.Errorf("got status %03d, want one of an answer", resp.StatusCode)
	}
	return responsehead.Check(resp.Header)
}

// roundTrip sends the request by a transport. The request has no GetBody function, so
// that the transport can't send a body again.
func (q request) roundTrip(ctx context.Context, transport *http.Transport, s *sendPermit) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.current.Store(s)
			}
		},
		Got1xxResponse: responsehead.InterimHook(),
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), q.method, q.url, nil)
	if err != nil {
		return nil, failure.New(failure.Unsent, err, "building request")
	}
	if len(q.body) > 0 {
		req.Body = opaqueBody(q.body)
		req.ContentLength = int64(len(q.body))
	}
	if q.header != nil {
		req.Header = q.header
	}
	return transport.RoundTrip(req)
}

// opaqueBody returns body as a reader whose type net/http does not recognise, since it
// can send the bodies of known types again.
func opaqueBody(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

// classify converts an error of the transport into a failure. It revokes the
// permission to send first, since the transport's write goroutine may still be
// running when RoundTrip returns an error.
func classify(ctx context.Context, err error, s *sendPermit) error {
	switch {
	case s.revoke():
		return failure.New(failure.Unsent, err, "sending")
	case ctx.Err() != nil:
		return failure.New(failure.Late, context.Cause(ctx), "waiting for the answer")
	default:
		return failure.New(failure.Lost, err, "waiting for the answer")
	}
}

// errorFromResponse returns the failure for a response with an error status, of the kind
// Refused if the endpoint says that it did not run the call.
func errorFromResponse(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	kind := failure.Errored
	if resp.Header.Get(HeaderNotRun) != "" {
		kind = failure.Refused
	}
	return failure.New(kind, nil, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}
