package fleet

// This file publishes tables and instance lists.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/bench/gate"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Change publishes the next version of the table with a change applied.
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

// publish puts a table on the platform and makes it the fleet's own.
func (f *Fleet) publish(s *fleettable.Table) error {
	if err := f.Platform.Publish(s); err != nil {
		return err
	}
	f.Table = s
	return nil
}

// ListInstances publishes the daemons as they are now as the instance list.
func (f *Fleet) ListInstances() error { return f.List(f.Members()...) }

// List publishes the given daemons as live, whatever is true.
func (f *Fleet) List(members ...member.Member) error {
	if !f.options.Gated {
		data, err := json.Marshal(listOf(members, func(m member.Member) string { return m.Peer() }))
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

// ListFor publishes a list that one daemon alone sees. The fleet must be gated.
func (f *Fleet) ListFor(reader string, members ...member.Member) error {
	return f.listFor(reader, members)
}

func (f *Fleet) listFor(reader string, members []member.Member) error {
	addresses := make(map[string]string)
	for _, m := range members {
		g, err := f.gate(reader, m)
		if err != nil {
			return err
		}
		addresses[m.Name()] = g.Address()
	}
	data, err := json.Marshal(listOf(members, func(m member.Member) string { return addresses[m.Name()] }))
	if err != nil {
		return fmt.Errorf("listing instances: %w", err)
	}
	f.Platform.View(reader).Put(instance.Key, data)
	return nil
}

func listOf(members []member.Member, address func(member.Member) string) instance.List {
	var list instance.List
	for _, m := range members {
		list.Instances = append(list.Instances, instance.Instance{
			Name: m.Name(), Centre: m.Centre(), Address: address(m), State: instance.Live, Entry: true,
			Seat: seatOf(m.Name()), Operator: "http://" + m.Operator(),
		})
	}
	return list
}

// seatOf returns the seat in the settings of the daemon of that name.
func seatOf(name string) *int {
	var i int
	if _, err := fmt.Sscanf(name, nameFormat, &i); err != nil {
		return nil
	}
	i--
	return &i
}

// gate returns the gate from one daemon to another, or to itself. A daemon that
// started again has other addresses, so its gates are replaced.
func (f *Fleet) gate(from string, to member.Member) (*gate.Gate, error) {
	r := route{from: from, to: to.Name()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gates[r]; g != nil && g.Target() == to.Peer() {
		return g, nil
	}
	g, closeGate, err := gate.New(to.Peer())
	if err != nil {
		return nil, err
	}
	f.gates[r] = g
	f.closers = append(f.closers, closeGate)
	return g, nil
}

// Part cuts all peer traffic between two sides, until the returned function
// heals it. The fleet must be gated.
func (f *Fleet) Part(side, other []string) (heal func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cut []*gate.Gate
	for _, a := range side {
		for _, b := range other {
			for _, r := range []route{{a, b}, {b, a}} {
				if g := f.gates[r]; g != nil {
					g.Cut()
					cut = append(cut, g)
				}
			}
		}
	}
	return func() {
		for _, g := range cut {
			g.Heal()
		}
	}
}
