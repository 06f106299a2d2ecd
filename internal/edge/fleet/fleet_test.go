package fleet_test

// This file tests what is believed of endpoints.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
)

var start = time.Unix(1000, 0)

// seen is what a fleet handed out.
type seen struct {
	times int
	last  map[string]fleet.State
}

func newFleet() (*fleet.Fleet, *seen) {
	s := new(seen)
	return fleet.New(func(all []*fleet.Endpoint) {
		s.times++
		s.last = make(map[string]fleet.State)
		for _, e := range all {
			s.last[e.ID] = e.State
		}
	}), s
}

func ready(id string) fleet.Endpoint { return fleet.Endpoint{ID: id, Service: "s", State: fleet.Ready} }

func TestHeldChangesAreHandedOutOnce(t *testing.T) {
	g := NewWithT(t)
	f, s := newFleet()
	release := f.Hold()
	f.Put(ready("a"))
	f.Put(ready("b"))
	f.Remove("a", start)
	g.Expect(s.times).To(BeZero())
	release()
	g.Expect(s.times).To(Equal(1))
	g.Expect(s.last).To(Equal(map[string]fleet.State{"b": fleet.Ready}))
	f.Hold()()
	g.Expect(s.times).To(Equal(1), "nothing changed")
	f.Put(ready("c"))
	g.Expect(s.times).To(Equal(2))
}

// TestRegistrationsLapseWhileThePlatformIsAway removes endpoints before, during
// and after an outage.
func TestRegistrationsLapseWhileThePlatformIsAway(t *testing.T) {
	g := NewWithT(t)
	f, s := newFleet()
	for _, id := range []string{"a", "b", "c", "d"} {
		f.Put(ready(id))
	}
	g.Expect(f.Remove("a", start)).To(BeTrue(), "the platform says so")
	f.Lose()
	g.Expect(f.Remove("b", start)).To(BeFalse(), "it may have lapsed")
	g.Expect(f.Remove("c", start)).To(BeFalse())
	g.Expect(s.last).To(Equal(map[string]fleet.State{"b": fleet.Lapsed, "c": fleet.Lapsed, "d": fleet.Ready}))
	f.Regain(start)
	f.Put(ready("b"))
	g.Expect(f.Tick(start.Add(fleet.Settle/2))).To(BeEmpty(), "it may still come back")
	g.Expect(f.Tick(start.Add(fleet.Settle))).To(Equal([]string{"c"}))
	g.Expect(s.last).To(Equal(map[string]fleet.State{"b": fleet.Ready, "d": fleet.Ready}))
	g.Expect(f.Remove("d", start.Add(fleet.Settle))).To(BeTrue())
}
