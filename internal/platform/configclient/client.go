// Package configclient is an HTTP client of the platform's configuration service, a
// key-value store whose keys have versions and can be watched by long polling.
package configclient

// This file defines Source and the HTTP client.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/responsehead"
	"github.com/jacinthstile/jacinthstile/internal/base/stall"
)

// Limits of calls to the configuration service.
const (
	MaxValueBytes = 1 << 20          // largest value of a key, in bytes
	readTimeout   = 3 * time.Second  // until the answer to a read begins
	watchMargin   = 3 * time.Second  // until the answer to a watch begins, beyond the requested wait
	stallWindow   = time.Second      // in which an answer that has begun must bring minProgress, unless it ends
	minProgress   = 16 << 10         // bytes
	callTimeout   = 30 * time.Second // of a whole call, beyond the wait of a watch
)

// Value is the value of a key at one version of the key.
type Value struct {
	Version uint64
	Data    []byte
}

// Source is the interface to the configuration service. A returned value may be
// older than one that was returned earlier.
type Source interface {
	// Read returns the current value of a key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the version of the key differs from the given one and
	// returns the value. If that does not happen within wait, changed is false.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (v Value, changed bool, err error)
}

// Client is a Source that calls the configuration service over HTTP.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

var _ Source = (*Client)(nil)

// New returns a client of the service at the URL base, such as
// "http://10.0.0.5:9000". The returned function closes its idle connections.
func New(base string) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 4}
	return &Client{base: base, http: &http.Client{Transport: responsehead.Transport{Base: t}}}, t.CloseIdleConnections
}

// Calls returns the number of calls made so far. A watch counts as one call.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Read returns the current value of a key. It fails if the answer has not begun after
// 3 s, or does not progress.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, _, err := c.get(ctx, key, nil, readTimeout)
	return v, err
}

// Watch waits for a version of the key other than the given one. It fails if the
// answer has not begun 3 s after the wait has ended, or does not progress.
func (c *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(version, 10)},
		"wait":  {wait.String()},
	}
	return c.get(ctx, key, query, wait+watchMargin)
}

// get calls the service, whose answer must begin within the given time.
func (c *Client) get(ctx context.Context, key string, query url.Values, begin time.Duration) (Value, bool, error) {
	c.calls.Add(1)
	ctx, guard, done := stall.New(ctx, begin, stallWindow, minProgress)
	defer done()
	u := c.base + "/v1/keys/" + key
	if query != nil {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return decode(key, resp.Header, guard.Reader(resp.Body))
	case http.StatusNotModified:
		return Value{}, false, nil
	default:
		return Value{}, false, fmt.Errorf("reading key %s: got status %d, want 200", key, resp.StatusCode)
	}
}

func decode(key string, h http.Header, body io.Reader) (Value, bool, error) {
	version, err := strconv.ParseUint(h.Get("Version"), 10, 64)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: version header: %w", key, err)
	}
	data, err := io.ReadAll(io.LimitReader(body, MaxValueBytes+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	if len(data) > MaxValueBytes {
		return Value{}, false, fmt.Errorf("reading key %s: got more than %d bytes", key, MaxValueBytes)
	}
	return Value{Version: version, Data: data}, true, nil
}
