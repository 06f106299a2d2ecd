package swarm

// This file stands between the nodes and the platform.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
)

// direct calls the platform's HTTP interface without a connection, for a
// process may not open as many as a large swarm needs.
type direct struct{ platform *configserver.Server }

var _ configclient.Source = direct{}

// Read returns the value of a key.
func (d direct) Read(ctx context.Context, key string) (configclient.Value, error) {
	v, _, err := d.get(ctx, "/v1/keys/"+key)
	return v, err
}

// Watch waits for a version of key other than the given one.
func (d direct) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (configclient.Value, bool, error) {
	query := url.Values{"after": {strconv.FormatUint(version, 10)}, "wait": {wait.String()}}
	return d.get(ctx, "/v1/keys/"+key+"?"+query.Encode())
}

func (d direct) get(ctx context.Context, path string) (configclient.Value, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return configclient.Value{}, false, err
	}
	w := httptest.NewRecorder()
	d.platform.ServeHTTP(w, req)
	switch {
	case ctx.Err() != nil:
		return configclient.Value{}, false, ctx.Err()
	case w.Code == http.StatusNotModified:
		return configclient.Value{}, false, nil
	case w.Code != http.StatusOK:
		return configclient.Value{}, false, fmt.Errorf("reading %s: got status %d, want 200", path, w.Code)
	}
	version, err := strconv.ParseUint(w.Header().Get("Version"), 10, 64)
	return configclient.Value{Version: version, Data: w.Body.Bytes()}, true, err
}

// Gate stands between a node and the platform, and can be closed.
type Gate struct {
	source configclient.Source

	mu     sync.Mutex
	closed bool
	change chan struct{} // closed and replaced when the gate opens or closes
}

var _ configclient.Source = (*Gate)(nil)

var errClosed = errors.New("the platform is down for this instance")

func newGate(source configclient.Source) *Gate {
	return &Gate{source: source, change: make(chan struct{})}
}

// Set opens or closes the gate. Closing it ends the calls that wait.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = !open
	close(g.change)
	g.change = make(chan struct{})
}

// pass returns a context that ends when the gate closes.
func (g *Gate) pass(ctx context.Context) (context.Context, context.CancelFunc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil, errClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	change := g.change
	go func() {
		select {
		case <-change:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// Read passes a read on while the gate is open.
func (g *Gate) Read(ctx context.Context, key string) (configclient.Value, error) {
	ctx, cancel, err := g.pass(ctx)
	if err != nil {
		return configclient.Value{}, err
	}
	defer cancel()
	return g.source.Read(ctx, key)
}

// Watch passes a watch on while the gate is open.
func (g *Gate) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (configclient.Value, bool, error) {
	ctx, cancel, err := g.pass(ctx)
	if err != nil {
		return configclient.Value{}, false, err
	}
	defer cancel()
	return g.source.Watch(ctx, key, version, wait)
}
