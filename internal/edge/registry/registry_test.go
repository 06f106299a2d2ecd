package registry_test

// This file tests how registrations and outages of the store change endpoints.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const heartbeat = 1200 * time.Millisecond

var start = time.Unix(1000, 0)

// updates records the calls of onChange.
type updates struct {
	calls int
	last  map[string]registry.State // states by id in the last call
}

func newRegistry() (*registry.Registry, *updates) {
	s := new(updates)
	return registry.New(heartbeat, func(all []*registry.Endpoint) {
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
	r.Put(ready("a"), start)
	r.Put(ready("b"), start)
	r.Remove("a", start)
	g.Expect(s.calls).To(BeZero())
	release()
	g.Expect(s.calls).To(Equal(1))
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Ready}))
	r.Hold()()
	g.Expect(s.calls).To(Equal(1), "nothing changed")
	r.Put(ready("c"), start)
	g.Expect(s.calls).To(Equal(2))
}

// TestRegistrationsLapseDuringOutage guards against dropping live endpoints whose
// registrations expire because the store is unreachable, and against keeping dead
// ones. It removes endpoints before, during and after an outage.
func TestRegistrationsLapseDuringOutage(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	for _, id := range []string{"a", "b", "c", "d"} {
		r.Put(ready(id), start)
	}
	g.Expect(r.Remove("a", start)).To(BeTrue(), "the store is reachable, so the registration was removed")
	r.SetUnreachable()
	g.Expect(r.Remove("b", start)).To(BeFalse(), "the registration may have expired because of the outage")
	g.Expect(r.Remove("c", start)).To(BeFalse())
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Lapsed, "c": registry.Lapsed, "d": registry.Ready}))
	g.Expect(r.SetReachable(2*heartbeat, start)).To(BeTrue())
	r.Put(ready("b"), start)
	g.Expect(r.RemoveExpired(start.Add(registry.ReregisterTimeout/2))).To(BeEmpty(), "c may still register again")
	r.SetUnreachable()
	g.Expect(r.RemoveExpired(start.Add(registry.ReregisterTimeout))).To(BeEmpty(), "the store is unreachable again")
	g.Expect(r.SetReachable(2*heartbeat-1, start.Add(registry.ReregisterTimeout))).To(BeFalse(), "no endpoint misses three renewals in this time")
	g.Expect(r.RemoveExpired(start.Add(registry.ReregisterTimeout))).To(Equal([]string{"c"}))
	g.Expect(s.last).To(Equal(map[string]registry.State{"b": registry.Ready, "d": registry.Ready}))
	g.Expect(r.Remove("d", start.Add(registry.ReregisterTimeout))).To(BeTrue())
}

// TestRestoredRegistrations guards against believing a copy of the store that is some
// seconds old: about a process that said that it leaves, one that was removed, and one
// that was replaced under the same id.
func TestRestoredRegistrations(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	process := func(id string, startTime int64) registry.Endpoint {
		e := ready(id)
		e.StartTime = startTime
		return e
	}
	for _, id := range []string{"leaving", "removed", "replaced", "new"} {
		r.Put(process(id, 1), start)
	}
	g.Expect(r.MarkLeaving("leaving@1", start)).To(BeTrue())
	g.Expect(r.MarkLeaving("leaving@1", start)).To(BeFalse(), "known already")
	g.Expect(s.last).To(HaveKeyWithValue("leaving", registry.Draining))
	r.Remove("removed", start)
	r.Put(process("replaced", 2), start)

	now := start.Add(time.Second)
	r.SyncRestored([]registry.Endpoint{process("leaving", 1), process("removed", 1), process("replaced", 1)}, now)
	g.Expect(s.last).To(Equal(map[string]registry.State{
		"leaving": registry.Draining, "replaced": registry.Lapsed, "new": registry.Lapsed,
	}))
	r.Put(process("replaced", 2), now)
	g.Expect(r.RemoveExpired(now.Add(registry.ReregisterTimeout))).To(Equal([]string{"new"}))
	g.Expect(s.last).To(Equal(map[string]registry.State{"leaving": registry.Draining, "replaced": registry.Ready}))

	r.RemoveExpired(now.Add(time.Minute))
	g.Expect(s.last).To(HaveKeyWithValue("removed", registry.Ready), "its registration has not expired, so the process lives")
	r.Put(process("leaving", 1), now)
	g.Expect(s.last).To(HaveKeyWithValue("leaving", registry.Draining))
	r.Put(process("leaving", 2), now)
	g.Expect(s.last).To(HaveKeyWithValue("leaving", registry.Ready), "the next process under the same id")
}

// TestLeavingIsObeyedEachTime guards against using an endpoint without a start time, whose
// registration made it ready again, although it goes on to say that it leaves.
func TestLeavingIsObeyedEachTime(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	for range 2 {
		r.Put(ready("a"), start)
		r.MarkLeaving("a@0", start)
		g.Expect(s.last).To(HaveKeyWithValue("a", registry.Draining))
	}
}

// TestRemovedRegistrationReturns guards against keeping a live endpoint out of use
// because its registration had been removed: one that registers again is used at once.
func TestRemovedRegistrationReturns(t *testing.T) {
	g := NewWithT(t)
	r, s := newRegistry()
	r.Put(ready("a"), start)
	r.Remove("a", start)
	r.SyncRestored([]registry.Endpoint{ready("a")}, start)
	g.Expect(s.last).To(BeEmpty())
	r.Put(ready("a"), start)
	g.Expect(s.last).To(HaveKeyWithValue("a", registry.Ready))
}

// Guards against names that are built again for each of the thousands of look-ups a second of a coordinator, and
// against one that outlasts its process.
func TestNamesAreKept(t *testing.T) {
	g := NewWithT(t)
	var all []*registry.Endpoint
	r := registry.New(heartbeat, func(list []*registry.Endpoint) { all = list })
	r.Put(registry.Endpoint{ID: "e", StartTime: 1}, time.Now())
	g.Expect(testing.AllocsPerRun(10, func() { all[0].Name() })).To(BeZero())
	again := *all[0]
	again.StartTime = 2
	r.Put(again, time.Now())
	g.Expect(all[0].Name()).To(Equal("e@2"))
}

// TestDrainedCentresAcceptNoWork guards against work for endpoints of a drained data centre, whatever becomes of their
// registrations, and against endpoints that stay without work once it is taken back.
func TestDrainedCentresAcceptNoWork(t *testing.T) {
	g := NewWithT(t)
	var index *registry.Index
	r := registry.New(heartbeat, func(all []*registry.Endpoint) { index = registry.NewIndex(all) })
	put := func(id, service, centre string, state registry.State) {
		r.Put(registry.Endpoint{ID: id, Service: service, Centre: centre, State: state}, start)
	}
	accepting := func(service string) (ids []string) {
		for _, e := range index.Accepting(service) {
			ids = append(ids, e.ID)
		}
		return ids
	}
	put("a1", "s", "a", registry.Ready)
	put("b1", "s", "b", registry.Ready)
	put("a2", "t", "a", registry.Ready)
	r.SetDrained([]string{"a", "unknown"})
	g.Expect(accepting("s")).To(Equal([]string{"b1"}))
	g.Expect(index.Services()).To(Equal([]string{"s"}))
	g.Expect(index.Drained()).To(Equal([]string{"t"}), "no other endpoint is left")
	g.Expect(index.ByName("a1@0")).NotTo(BeNil(), "what runs there is still known")
	put("a1", "s", "a", registry.Ready)
	put("a3", "s", "a", registry.Ready)
	put("a4", "u", "a", registry.Draining)
	r.SetUnreachable()
	r.Remove("a1", start)
	g.Expect(accepting("s")).To(Equal([]string{"b1"}), "renewed, new and lapsed ones")
	g.Expect(index.Drained()).To(Equal([]string{"t"}), "the endpoint of u leaves anyway")
	r.SetDrained(nil)
	g.Expect(accepting("s")).To(Equal([]string{"a1", "a3", "b1"}))
	g.Expect(index.Drained()).To(BeEmpty())
}
