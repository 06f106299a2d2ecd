package demo

// This file defines balancer, which sends callers to ready instances.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/faultproxy"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
)

// balancer knows which daemons were ready at its last probe, and leads to each through a proxy.
type balancer struct {
	fleet *fleet.Fleet

	mu    sync.Mutex
	doors []door // by the number of the daemon
	next  int
}

type door struct {
	member member.Member
	gate   *faultproxy.Proxy
	close  func()
	ready  bool
}

func newBalancer(ctx context.Context, f *fleet.Fleet) (*balancer, func(), error) {
	b := &balancer{fleet: f}
	for i, m := range f.Members() {
		if err := b.open(i, m); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	go b.probe(ctx)
	return b, func() {
		cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, d := range b.doors {
			d.close()
		}
	}, nil
}

// open leads to a daemon that is ready.
func (b *balancer) open(i int, m member.Member) error {
	g, closeGate, err := faultproxy.New(m.CallerAddress())
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	d := door{member: m, gate: g, close: closeGate, ready: true}
	if i < len(b.doors) {
		b.doors[i].close()
		b.doors[i] = d
	} else {
		b.doors = append(b.doors, d)
	}
	return nil
}

func (b *balancer) probe(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		b.mu.Lock()
		doors := append([]door(nil), b.doors...)
		b.mu.Unlock()
		for i, d := range doors {
			ready := fleet.Ready(ctx, d.member)
			b.mu.Lock()
			if b.doors[i].member == d.member {
				b.doors[i].ready = ready
			}
			b.mu.Unlock()
		}
	}
}

// pick returns the base URL of the next ready daemon and its number. The
// daemon of number except is passed over; -1 is none.
func (b *balancer) pick(except int) (base string, i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.doors {
		b.next = (b.next + 1) % len(b.doors)
		if b.doors[b.next].ready && b.next != except {
			break
		}
	}
	return "http://" + b.doors[b.next].gate.Address(), b.next
}

// kick closes the callers' connections to a daemon.
func (b *balancer) kick(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doors[i].gate.CloseConns()
}
