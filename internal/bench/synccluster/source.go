package synccluster

// This file defines the nodes' access to the platform, which can be made unreachable for each node.

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

// directSource calls the HTTP handler of the platform without a connection, because a large cluster needs more
// connections than a process may open.
type directSource struct{ platform *configserver.Server }

var _ configclient.Source = directSource{}

// Read implements configclient.Source.
func (d directSource) Read(ctx context.Context, key string) (configclient.Value, error) {
	v, _, err := d.get(ctx, "/v1/keys/"+key)
	return v, err
}

// Watch implements configclient.Source. It returns false if the version has not changed within wait.
func (d directSource) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (configclient.Value, bool, error) {
	query := url.Values{"after": {strconv.FormatUint(version, 10)}, "wait": {wait.String()}}
	return d.get(ctx, "/v1/keys/"+key+"?"+query.Encode())
}

// get serves a GET request. It returns false if the platform answers that the version is unchanged.
func (d directSource) get(ctx context.Context, path string) (configclient.Value, bool, error) {
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

// PlatformSource is a node's access to the platform. It can be switched off to simulate a platform that is unreachable
// from the node. It is safe for concurrent use.
type PlatformSource struct {
	source configclient.Source

	mu          sync.Mutex
	unreachable bool
	change      chan struct{} // closed and replaced at each call of SetReachable
}

var _ configclient.Source = (*PlatformSource)(nil)

var errUnreachable = errors.New("the platform is down for this instance")

func newPlatformSource(source configclient.Source) *PlatformSource {
	return &PlatformSource{source: source, change: make(chan struct{})}
}

// SetReachable makes the platform reachable or unreachable. It cancels the calls that are in progress in either case.
func (s *PlatformSource) SetReachable(reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = !reachable
	close(s.change)
	s.change = make(chan struct{})
}

// callContext returns a context that is cancelled at the next call of SetReachable, or errUnreachable if the platform is
// unreachable.
func (s *PlatformSource) callContext(ctx context.Context) (context.Context, context.CancelFunc, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, nil, errUnreachable
	}
	ctx, cancel := context.WithCancel(ctx)
	change := s.change
	go func() {
		select {
		case <-change:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// Read implements configclient.Source. It fails if the platform is unreachable.
func (s *PlatformSource) Read(ctx context.Context, key string) (configclient.Value, error) {
	ctx, cancel, err := s.callContext(ctx)
	if err != nil {
		return configclient.Value{}, err
	}
	defer cancel()
	return s.source.Read(ctx, key)
}

// Watch implements configclient.Source. It fails if the platform is unreachable.
func (s *PlatformSource) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (configclient.Value, bool, error) {
	ctx, cancel, err := s.callContext(ctx)
	if err != nil {
		return configclient.Value{}, false, err
	}
	defer cancel()
	return s.source.Watch(ctx, key, version, wait)
}
