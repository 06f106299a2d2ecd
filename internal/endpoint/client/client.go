// Package client sends calls to endpoints and accepts only whole answers that
// carry the identity of the call.
package client

// This file defines Client, its construction and the sending of requests.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Limits of connections and answers.
const (
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	idlePerHost   = 64
	headerTimeout = 60 * time.Second
	mostAnswer    = 8 << 20 // bytes
	mostRefusal   = 4 << 10 // bytes kept of an error body
)

// HeaderNotRun is set by an endpoint that refuses before running.
const HeaderNotRun = "Jacinthstile-Not-Run"

// Client sends calls over pooled connections.
type Client struct {
	http *http.Client
}

// New returns a client and a function that closes its idle connections.
func New() (*Client, func()) {
	t := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}
	return &Client{http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// send posts a request and classifies what goes wrong before the answer's headers.
// The body is given as a reader without a replay function, so that the transport
// never repeats a request of which a byte was written.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return nil, failure.New(failure.Unsent, err, "building request")
	}
	if len(body) > 0 {
		req.Body = once(body)
		req.ContentLength = int64(len(body))
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classify(ctx, err, wrote.Load())
	}
	return resp, nil
}

// once hides the type of the reader, since net/http replays bodies that it recognises.
func once(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

func classify(ctx context.Context, err error, wrote bool) error {
	var op *net.OpError
	switch {
	case !wrote || errors.As(err, &op) && op.Op == "dial":
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

// Load asks an engine, pool or service for its load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	var w wireLoad
	if err := c.getJSON(ctx, "http://"+address+"/v1/load", &w); err != nil {
		return Report{}, err
	}
	return w.report(), nil
}

func (c *Client) getJSON(ctx context.Context, url string, into any) error {
	resp, err := c.send(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostAnswer)).Decode(into); err != nil {
		return failure.New(failure.Lost, err, "reading %s", url)
	}
	return nil
}

func millis(ctx context.Context, deadline time.Time) (string, error) {
	left := time.Until(deadline)
	if left <= 0 {
		return "", failure.New(failure.Unsent, context.Cause(ctx), "deadline passed %v ago", -left)
	}
	return strconv.FormatInt(max(1, left.Milliseconds()), 10), nil
}
