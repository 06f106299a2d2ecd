// Package reader reads and watches the platform's configuration service.
package reader

// This file defines Reader, the HTTP adapter to the configuration service.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Limits of the configuration service.
const (
	MostValue   = 1 << 20 // bytes of a value
	readTimeout = 3 * time.Second
	watchMargin = 3 * time.Second // beyond the wait that was asked for
)

// Value is a key's value at one version of the key.
type Value struct {
	Version uint64
	Data    []byte
}

// Source is what the rest of the system needs of the configuration service.
// Answers may be older than earlier ones.
type Source interface {
	// Read returns the value of a key, or an error.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the value once its version differs from the given one, or
	// changed = false after the wait.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (v Value, changed bool, err error)
}

// Reader is the HTTP adapter.
type Reader struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

var _ Source = (*Reader)(nil)

// New returns a reader for the service at base, such as "http://10.0.0.5:9000".
// The returned function closes its idle connections.
func New(base string) (*Reader, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 4}
	return &Reader{base: base, http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// Calls returns how many calls were made, a waiting watch counted as one.
func (r *Reader) Calls() int64 { return r.calls.Load() }

// Read returns the value of a key.
func (r *Reader) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, _, err := r.get(ctx, key, nil)
	return v, err
}

// Watch waits for a version of key other than the given one.
func (r *Reader) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(version, 10)},
		"wait":  {wait.String()},
	}
	return r.get(ctx, key, query)
}

func (r *Reader) get(ctx context.Context, key string, query url.Values) (Value, bool, error) {
	r.calls.Add(1)
	u := r.base + "/v1/keys/" + key
	if query != nil {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return decode(key, resp)
	case http.StatusNotModified:
		return Value{}, false, nil
	default:
		return Value{}, false, fmt.Errorf("reading key %s: got status %d, want 200", key, resp.StatusCode)
	}
}

func decode(key string, resp *http.Response) (Value, bool, error) {
	version, err := strconv.ParseUint(resp.Header.Get("Version"), 10, 64)
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: version header: %w", key, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MostValue+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("reading key %s: %w", key, err)
	}
	if len(data) > MostValue {
		return Value{}, false, fmt.Errorf("reading key %s: got more than %d bytes", key, MostValue)
	}
	return Value{Version: version, Data: data}, true, nil
}
