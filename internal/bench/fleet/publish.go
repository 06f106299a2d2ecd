package fleet

// This file publishes tables and instance lists.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/bench/faultproxy"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Change applies a change to a copy of the current table and publishes it as the
// next version.
func (f *Fleet) Change(change func(*fleettable.Table)) error {
	next, err := clone(f.Table)
	if err != nil {
		return err
	}
	next.Version++
	change(next)
	if err := next.Freeze(); err != nil {
		return err
	}
	return f.publish(next)
}

// publish publishes a table on the platform and makes it the fleet's current one.
func (f *Fleet) publish(t *fleettable.Table) error {
	if err := f.Platform.Publish(t); err != nil {
		return err
	}
	f.Table = t
	return nil
}

// ListInstances publishes the instance list with all current daemons.
func (f *Fleet) ListInstances() error { return f.List(f.Members()...) }

// List publishes an instance list in which the given daemons are live, whether or
// not they are.
func (f *Fleet) List(members ...member.Member) error {
	if !f.options.UseProxies {
		data, err := json.Marshal(listOf(members, func(m member.Member) string { return m.PeerAddress() }))
		if err != nil {
			return fmt.Errorf("listing instances: %w", err)
		}
		f.Platform.Put(instance.Key, data)
		return nil
	}
	for _, reader := range f.Members() {
		if err := f.listFor(reader.Name(), members); err != nil {
			return err
		}
	}
	return nil
}

// ListFor publishes an instance list that only the daemon named reader sees. The
// fleet must connect peers through proxies.
func (f *Fleet) ListFor(reader string, members ...member.Member) error {
	return f.listFor(reader, members)
}

func (f *Fleet) listFor(reader string, members []member.Member) error {
	addresses := make(map[string]string)
	for _, m := range members {
		p, err := f.proxyTo(reader, m)
		if err != nil {
			return err
		}
		addresses[m.Name()] = p.Address()
	}
	data, err := json.Marshal(listOf(members, func(m member.Member) string { return addresses[m.Name()] }))
	if err != nil {
		return fmt.Errorf("listing instances: %w", err)
	}
	f.Platform.View(reader).Override(instance.Key, data)
	return nil
}

func listOf(members []member.Member, address func(member.Member) string) instance.List {
	var list instance.List
	for _, m := range members {
		list.Instances = append(list.Instances, instance.Instance{
			Name: m.Name(), Centre: m.Centre(), Address: address(m), State: instance.Live, Entry: true,
			Seat: seatOf(m.Name()), Operator: "http://" + m.OperatorAddress(),
		})
	}
	return list
}

// seatOf returns the seat that settings gives the daemon of that name, or nil if
// the name is not that of a daemon.
func seatOf(name string) *int {
	var i int
	if _, err := fmt.Sscanf(name, nameFormat, &i); err != nil {
		return nil
	}
	i--
	return &i
}

// proxyTo returns the proxy from one daemon to another, or to itself. A restarted
// daemon has new addresses, so the proxies to it are replaced.
func (f *Fleet) proxyTo(from string, to member.Member) (*faultproxy.Proxy, error) {
	r := route{from: from, to: to.Name()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.proxies[r]; p != nil && p.Target() == to.PeerAddress() {
		return p, nil
	}
	p, closeProxy, err := faultproxy.New(to.PeerAddress())
	if err != nil {
		return nil, err
	}
	f.proxies[r] = p
	f.closers = append(f.closers, closeProxy)
	return p, nil
}

// Partition cuts all peer connections between two sets of daemons, given by name,
// until the returned function is called. The fleet must connect peers through proxies.
func (f *Fleet) Partition(side, other []string) (heal func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cut []*faultproxy.Proxy
	for _, a := range side {
		for _, b := range other {
			for _, r := range []route{{a, b}, {b, a}} {
				if p := f.proxies[r]; p != nil {
					p.Cut()
					cut = append(cut, p)
				}
			}
		}
	}
	return func() {
		for _, p := range cut {
			p.Heal()
		}
	}
}
