package demo

// This file defines balancer, a load balancer that chooses a ready daemon for each request.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/faultproxy"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
)

// balancer chooses among the daemons that were ready at its last probe. Requests reach each daemon through a
// proxy of its own, whose connections can be closed to simulate a connection loss. It is safe for concurrent use.
type balancer struct {
	fleet *fleet.Fleet

	mu       sync.Mutex
	backends []backend // by the index of the daemon
	next     int       // index of the daemon chosen last
}

// backend is a daemon and the proxy that leads to it.
type backend struct {
	member member.Member
	proxy  *faultproxy.Proxy
	close  func()
	ready  bool
}

// newBalancer opens a proxy to each daemon of the fleet and starts the readiness probes. The returned function
// stops both.
func newBalancer(ctx context.Context, f *fleet.Fleet) (*balancer, func(), error) {
	b := &balancer{fleet: f}
	for i, m := range f.Members() {
		if err := b.setBackend(i, m); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	go b.probe(ctx)
	return b, func() {
		cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, d := range b.backends {
			d.close()
		}
	}, nil
}

// setBackend adds daemon i, which must be ready, or replaces it after a restart.
func (b *balancer) setBackend(i int, m member.Member) error {
	p, closeProxy, err := faultproxy.New(m.CallerAddress())
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	d := backend{member: m, proxy: p, close: closeProxy, ready: true}
	if i < len(b.backends) {
		b.backends[i].close()
		b.backends[i] = d
	} else {
		b.backends = append(b.backends, d)
	}
	return nil
}

// probe updates the readiness of all daemons at a fixed interval until ctx ends.
func (b *balancer) probe(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		b.mu.Lock()
		backends := append([]backend(nil), b.backends...)
		b.mu.Unlock()
		for i, d := range backends {
			ready := fleet.Ready(ctx, d.member)
			b.mu.Lock()
			if b.backends[i].member == d.member {
				b.backends[i].ready = ready
			}
			b.mu.Unlock()
		}
	}
}

// pick returns the base URL and the index of the next ready daemon in round-robin order, without daemon except
// (-1 for none). If there is no such daemon, it returns the one chosen last.
func (b *balancer) pick(except int) (base string, i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.backends {
		b.next = (b.next + 1) % len(b.backends)
		if b.backends[b.next].ready && b.next != except {
			break
		}
	}
	return "http://" + b.backends[b.next].proxy.Address(), b.next
}

// closeConns closes the callers' connections to daemon i.
func (b *balancer) closeConns(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends[i].proxy.CloseConns()
}
