// Package prober checks the path to the endpoints of a service by connections to some of them.
package prober

// This file defines Prober.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/reach"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const (
	numProbes = 3 // endpoints that one check connects to
	// probeTimeout is how long a check waits for connections: a sound endpoint that is
	// silent for longer may be taken for one that cannot be reached.
	probeTimeout = 300 * time.Millisecond
	pollInterval = 250 * time.Millisecond // between looks for a silence, or for the end of a cut
)

// Prober checks services that are suspected, and those that cannot be reached. It is safe for
// concurrent use.
type Prober struct {
	tracker *reach.Tracker
	index   func() *registry.Index
	pool    *connpool.Pool

	mu      sync.Mutex
	running map[string]chan struct{} // closed at the end of the check, by service
}

// New returns a prober; Run runs it. Connections that it makes are used by later requests.
func New(t *reach.Tracker, index func() *registry.Index, pool *connpool.Pool) *Prober {
	return &Prober{tracker: t, index: index, pool: pool, running: make(map[string]chan struct{})}
}

// Run checks services until the context ends.
func (p *Prober) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		for _, service := range p.tracker.Due(p.index().Services(), time.Now()) {
			p.start(service)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.tracker.Wake():
		}
	}
}

// Confirm waits for the check of a service that is due or running, and reports whether this
// instance is cut off from it.
func (p *Prober) Confirm(ctx context.Context, service string) bool {
	for _, due := range p.tracker.Due(p.index().Services(), time.Now()) {
		p.start(due)
	}
	p.mu.Lock()
	done := p.running[service]
	p.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return p.tracker.CutOff(service, time.Now())
}

// start begins a check of a service, unless one is running.
func (p *Prober) start(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[service] != nil {
		return
	}
	done := make(chan struct{})
	p.running[service] = done
	go func() {
		defer close(done)
		p.check(service)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, service)
	}()
}

// check connects to some endpoints of a service at the same time.
func (p *Prober) check(service string) {
	all := p.index().Accepting(service)
	if len(all) == 0 {
		p.tracker.Checked(service, 0, 0, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	n := min(numProbes, len(all))
	results := make(chan error, n)
	for _, i := range rand.Perm(len(all))[:n] {
		go func() { results <- p.pool.Probe(ctx, all[i].Name(), all[i].Address) }()
	}
	reached := 0
	for range n {
		if <-results == nil {
			reached++
		}
	}
	p.tracker.Checked(service, reached, n, time.Now())
}
