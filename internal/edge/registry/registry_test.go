package registry_test

// This file tests how registrations and outages of the store change endpoints.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

var start = time.Unix(1000, 0)

// updates records the calls of onChange.
type updates struct {
	calls int
	last  map[string]registry.State // states by id in the last call
}

func newRegistry() (*registry.Registry, *updates) {
	s := new(updates)
	return registry.New(func(all []*registry.Endpoint) {
		s.calls++
		s.last = make(map[string]registry.State)
		for _, e := range all {
			s.last[e.ID] = e.State
		}
	}), s
}

func ready(id string) registry.Endpoint {
	return registry.Endpoint{ID: id, Service: "s", State: registry.Ready}
}

// TestHeldChangesArePublishedOnce guards against one call of onChange for each
// change of a batch: during Hold there is none, and release makes a single one.
func TestHeldChangesArePublishedOnce(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	release := r.Hold()
	r.Put(ready("a"))
	r.Put(ready("b"))
	r.Remove("a", start)
	g.Expect(s.calls).To(BeZero())
	release()
	g.Expect(s.calls).To(Equal(1))
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Ready}))
	r.Hold()()
	g.Expect(s.calls).To(Equal(1), "nothing changed")
	r.Put(ready("c"))
	g.Expect(s.calls).To(Equal(2))
}

// TestRegistrationsLapseDuringOutage guards against dropping live endpoints whose
// registrations expire because the store is unreachable, and against keeping dead
// ones. It removes endpoints before, during and after an outage.
func TestRegistrationsLapseDuringOutage(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	for _, id := range []string{"a", "b", "c", "d"} {
		r.Put(ready(id))
	}
	g.Expect(r.Remove("a", start)).To(BeTrue(), "the store is reachable, so the registration was removed")
	r.SetUnreachable()
	g.Expect(r.Remove("b", start)).To(BeFalse(), "the registration may have expired because of the outage")
	g.Expect(r.Remove("c", start)).To(BeFalse())
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Lapsed, "c": registry.Lapsed, "d": registry.Ready}))
	r.SetReachable(start)
	r.Put(ready("b"))
	g.Expect(r.RemoveExpired(start.Add(registry.ReregisterTimeout/2))).To(BeEmpty(), "c may still register again")
	g.Expect(r.RemoveExpired(start.Add(registry.ReregisterTimeout))).To(Equal([]string{"c"}))
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Ready, "d": registry.Ready}))
	g.Expect(r.Remove("d", start.Add(registry.ReregisterTimeout))).To(BeTrue())
}
