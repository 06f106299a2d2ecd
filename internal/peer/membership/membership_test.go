package membership_test

// This file tests how an instance's own observations correct the platform's list.

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

func list(addresses map[string]string) *instance.List {
	l := new(instance.List)
	for name, address := range addresses {
		l.Instances = append(l.Instances, instance.Instance{Name: name, Address: address, State: instance.Live, Entry: true})
	}
	return l
}

func TestSelfAndEndpointsAreNotMembers(t *testing.T) {
	g := NewWithT(t)
	m := membership.New("a")
	l := list(map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"})
	l.Instances = append(l.Instances, instance.Instance{Name: "llm-01", Address: "10.0.0.3:1"})
	m.Update(l)
	g.Expect(m.Reachable()).To(Equal([]string{"b"}))
}

// TestUnlistedPeerIsKeptAfterContact guards against dropping a live peer that the
// lagging list does not name, and against keeping it forever.
func TestUnlistedPeerIsKeptAfterContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := membership.New("a")
		m.Update(list(map[string]string{"b": "10.0.0.2:1"}))
		m.PeerConnected(identity.Identity{Name: "c", Incarnation: 7}, "10.0.0.3:1")
		m.Update(list(map[string]string{"b": "10.0.0.2:1"}))
		address, ok := m.AddressOf("c")
		g.Expect(ok).To(BeTrue())
		g.Expect(address).To(Equal("10.0.0.3:1"))
		time.Sleep(11 * time.Minute)
		m.Update(list(map[string]string{"b": "10.0.0.2:1"}))
		_, ok = m.AddressOf("c")
		g.Expect(ok).To(BeFalse(), "the peer is not listed and had no contact for 11 minutes")
	})
}

// TestUnreachablePeerIsRetriedWithBackoff guards against dialing a dead peer all
// the time, and against never dialing it again after it has recovered.
func TestUnreachablePeerIsRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := membership.New("a")
		m.Update(list(map[string]string{"b": "10.0.0.2:1"}))
		m.DialFailed("10.0.0.2:1")
		for _, wait := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			m.DialFailed("10.0.0.2:1")
			time.Sleep(wait*time.Second - 1)
			g.Expect(m.Reachable()).To(BeEmpty())
			time.Sleep(time.Nanosecond)
			g.Expect(m.Reachable()).To(Equal([]string{"b"}))
		}
		m.PeerConnected(identity.Identity{Name: "b", Incarnation: 1}, "10.0.0.2:1")
		g.Expect(m.Reachable()).To(Equal([]string{"b"}))
	})
}

// TestListedAddressTakesPrecedence guards against an address that the peer sent,
// which may not be routed from here, replacing the listed one.
func TestListedAddressTakesPrecedence(t *testing.T) {
	g := NewWithT(t)
	m := membership.New("a")
	find := func() string {
		address, _ := m.AddressOf("b")
		return address
	}
	m.PeerConnected(identity.Identity{Name: "b", Incarnation: 1}, "10.0.0.2:1")
	g.Expect(find()).To(Equal("10.0.0.2:1"), "the peer is not listed yet")
	m.DialFailed("10.0.0.2:1")
	m.DialFailed("10.0.0.2:1")
	m.Update(list(map[string]string{"b": "10.0.0.9:1"}))
	g.Expect(find()).To(Equal("10.0.0.9:1"))
	g.Expect(m.Reachable()).To(Equal([]string{"b"}), "no dial of the new address has failed")
	m.PeerConnected(identity.Identity{Name: "b", Incarnation: 1}, "10.0.0.2:1")
	g.Expect(find()).To(Equal("10.0.0.9:1"))
	m.PeerConnected(identity.Identity{Name: "c", Incarnation: 1}, "0.0.0.0:1")
	_, ok := m.AddressOf("c")
	g.Expect(ok).To(BeFalse(), "a wildcard address cannot be dialed")
}

// TestRestartedPeerReplacesItsPreviousIncarnation guards against calls to the old
// address of a peer that restarted under the same name.
func TestRestartedPeerReplacesItsPreviousIncarnation(t *testing.T) {
	g := NewWithT(t)
	m := membership.New("a")
	m.PeerConnected(identity.Identity{Name: "b", Incarnation: 1}, "10.0.0.2:1")
	m.PeerConnected(identity.Identity{Name: "b", Incarnation: 2}, "10.0.0.3:1")
	members := m.Members()
	g.Expect(members).To(HaveLen(1))
	g.Expect(members[0].Incarnation).To(Equal(uint64(2)))
	g.Expect(members[0].Address).To(Equal("10.0.0.3:1"))
}
