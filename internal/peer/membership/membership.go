// Package membership keeps the set of the other entry instances (the peers):
// the platform's list, which lags behind reality, corrected by what this
// instance observes itself. A peer that connects is known at once and stays
// known while it is in contact, and a peer that cannot be dialed is suspected
// before the platform removes it. The package does no I/O.
package membership

// This file defines Membership.

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

const (
	unlistedRetention = 10 * time.Minute // a peer that is not listed is kept this long after the last contact
	suspectThreshold  = 2                // consecutive failed dials that make a peer suspect
	initialRetryDelay = time.Second      // a suspect peer is dialed again after this delay, doubled at each further failure
	maxRetryDelay     = 30 * time.Second
	maxMembers        = 4096 // further peers are ignored
)

// Member describes one peer.
type Member struct {
	Name           string
	Address        string // of the member's peer listener; empty if not known
	Centre         string
	Seat           int       // seat among the instances that hold shares of account limits; -1 for none
	Incarnation    uint64    // as of the last contact; 0 if there was none
	Listed         bool      // in the platform's current list
	Leaving        bool      // according to the platform's list
	LastContact    time.Time // when a session with the member was last opened, by either side; zero for never
	FailedDials    int       // consecutive failed dials
	LastFailedDial time.Time // time of the last failed dial
}

// Suspect reports whether the last dials of the member failed and the delay
// before the next attempt has not passed yet.
func (m Member) Suspect(now time.Time) bool {
	if m.FailedDials < suspectThreshold {
		return false
	}
	return now.Sub(m.LastFailedDial) < min(initialRetryDelay<<min(m.FailedDials-suspectThreshold, 10), maxRetryDelay)
}

// Membership holds the members by name. It implements transport.Observer and is
// safe for concurrent use.
type Membership struct {
	self string

	mu      sync.Mutex
	hasList bool // whether Update was called
	members map[string]*Member
}

var _ transport.Observer = (*Membership)(nil)

// New returns an empty Membership. The instance named self never becomes a
// member.
func New(self string) *Membership {
	return &Membership{self: self, members: make(map[string]*Member)}
}

// Update applies a new version of the platform's list. A peer that is no longer
// listed stays a member until it had no contact for unlistedRetention, since the
// list may be wrong. A seat that the peer itself sent takes precedence over the
// listed one.
func (m *Membership) Update(list *instance.List) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasList = true
	for _, p := range m.members {
		p.Listed = false
	}
	for _, i := range list.Instances {
		if !i.Entry || i.Name == m.self {
			continue
		}
		p := m.getOrAdd(i.Name)
		if p == nil {
			continue
		}
		p.Listed, p.Leaving, p.Centre = true, i.State == instance.Leaving, i.Centre
		if i.Seat != nil && p.LastContact.IsZero() {
			p.Seat = *i.Seat
		}
		if p.Address != i.Address {
			p.Address, p.FailedDials = i.Address, 0
		}
	}
	m.removeStale(time.Now())
}

// getOrAdd returns the member of that name and adds it if necessary. It returns
// nil if the membership is full.
func (m *Membership) getOrAdd(name string) *Member {
	p := m.members[name]
	if p == nil && len(m.members) < maxMembers {
		p = &Member{Name: name, Seat: -1}
		m.members[name] = p
	}
	return p
}

func (m *Membership) removeStale(now time.Time) {
	for name, p := range m.members {
		if !p.Listed && now.Sub(p.LastContact) > unlistedRetention {
			delete(m.members, name)
		}
	}
}

// PeerConnected records that a session with a peer was opened. The address that
// the peer sent is used only while the peer is not listed: a listed address may
// be the only one that is routed to the peer.
func (m *Membership) PeerConnected(peer identity.Identity, address string) {
	if peer.Name == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.getOrAdd(peer.Name)
	if p == nil {
		return
	}
	p.Incarnation, p.Centre, p.LastContact, p.FailedDials = peer.Incarnation, peer.Centre, time.Now(), 0
	p.Seat = peer.Seat
	if a, err := netip.ParseAddrPort(address); err == nil && !p.Listed && !a.Addr().IsUnspecified() {
		p.Address = address
	}
}

// DialFailed records that no session could be opened to an address.
func (m *Membership) DialFailed(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, p := range m.members {
		if p.Address == address {
			p.FailedDials++
			p.LastFailedDial = now
		}
	}
}

// HasList reports whether a list of the platform was applied.
func (m *Membership) HasList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList
}

// AddressOf returns the address of the peer of that name, or false if the peer
// or its address is not known.
func (m *Membership) AddressOf(name string) (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.members[name]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}

// AddressOfSeat returns the address of the peer that has a seat, or false if no
// such peer is known. If several peers claim the seat, it is the one with the
// latest incarnation, because the list may still name the previous holder.
func (m *Membership) AddressOfSeat(seat int) (address string, ok bool) {
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

// Reachable returns, in order, the names of the members that have an address
// and are not suspect.
func (m *Membership) Reachable() []string {
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
