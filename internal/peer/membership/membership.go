// Package membership knows the entry instances: the platform's list, which
// lags, corrected by what this instance observes of its peers directly.
package membership

// This file defines Membership.

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

const (
	forgetAfter  = 10 * time.Minute // a peer that is not listed is kept this long after it was heard
	suspectAfter = 2                // failed dials in a row
	firstRetry   = time.Second      // a suspect peer may be chosen again after it, doubled at each failure
	mostRetry    = 30 * time.Second
	mostPeers    = 4096
)

// Member is what is known of one entry instance.
type Member struct {
	Name        string
	Address     string // of its peer listener
	Centre      string
	Seat        int       // among the holders of account limits; -1 for none
	Incarnation uint64    // as last heard directly; 0 for never
	Listed      bool      // by the platform
	Leaving     bool      // as the platform says
	Heard       time.Time // when it was last heard directly; zero for never
	Missed      int       // dials in a row that failed
	MissedAt    time.Time // the last of them
}

// Suspect reports whether dials failed of late, and it is too early to try again.
func (m Member) Suspect(now time.Time) bool {
	if m.Missed < suspectAfter {
		return false
	}
	return now.Sub(m.MissedAt) < min(firstRetry<<min(m.Missed-suspectAfter, 10), mostRetry)
}

// Membership holds the members by name. It is safe for concurrent use.
type Membership struct {
	self string

	mu      sync.Mutex
	known   bool // a list came
	members map[string]*Member
}

var _ mesh.Observer = (*Membership)(nil)

// New returns a membership of nobody. Self is left out of it.
func New(self string) *Membership {
	return &Membership{self: self, members: make(map[string]*Member)}
}

// Update takes over a list of the platform. A peer that is no longer listed is
// kept while it is heard directly.
func (m *Membership) Update(list *instance.List) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = true
	for _, p := range m.members {
		p.Listed = false
	}
	for _, i := range list.Instances {
		if !i.Entry || i.Name == m.self {
			continue
		}
		p := m.member(i.Name)
		if p == nil {
			continue
		}
		p.Listed, p.Leaving, p.Centre = true, i.State == instance.Leaving, i.Centre
		if i.Seat != nil && p.Heard.IsZero() {
			p.Seat = *i.Seat
		}
		if p.Address != i.Address {
			p.Address, p.Missed = i.Address, 0
		}
	}
	m.forget(time.Now())
}

func (m *Membership) member(name string) *Member {
	p := m.members[name]
	if p == nil && len(m.members) < mostPeers {
		p = &Member{Name: name, Seat: -1}
		m.members[name] = p
	}
	return p
}

func (m *Membership) forget(now time.Time) {
	for name, p := range m.members {
		if !p.Listed && now.Sub(p.Heard) > forgetAfter {
			delete(m.members, name)
		}
	}
}

// Heard notes that a peer said hello. The address that it gives is used while
// the list gives none: a listed address may be the only one that routes to it.
func (m *Membership) Heard(peer identity.Identity, address string) {
	if peer.Name == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.member(peer.Name)
	if p == nil {
		return
	}
	p.Incarnation, p.Centre, p.Heard, p.Missed = peer.Incarnation, peer.Centre, time.Now(), 0
	p.Seat = peer.Seat
	if a, err := netip.ParseAddrPort(address); err == nil && !p.Listed && !a.Addr().IsUnspecified() {
		p.Address = address
	}
}

// Missed notes that no session could be opened to an address.
func (m *Membership) Missed(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, p := range m.members {
		if p.Address == address {
			p.Missed++
			p.MissedAt = now
		}
	}
}

// Known reports whether a list of the platform came.
func (m *Membership) Known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Find returns the address of the peer of that name.
func (m *Membership) Find(name string) (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.members[name]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}

// FindSeat returns the address of the peer with a seat. Of several it is the
// one of the latest incarnation heard, as a list may still name an earlier one.
func (m *Membership) FindSeat(seat int) (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *Member
	for _, p := range m.members {
		if p.Seat != seat || p.Address == "" {
			continue
		}
		if best == nil || p.Incarnation > best.Incarnation {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.Address, true
}

// Members returns copies of all members, ordered by name.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.members))
	for _, p := range m.members {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Names returns the names of the members that have an address and are not
// suspect, ordered.
func (m *Membership) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]string, 0, len(m.members))
	for name, p := range m.members {
		if p.Address != "" && !p.Suspect(now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
