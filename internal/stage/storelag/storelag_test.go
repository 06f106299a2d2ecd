package storelag_test

// This file simulates instances that lose the store, some of them or all at once.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/storelag"
)

const (
	interval  = 300 * time.Millisecond // between two reports of instances to each other
	lostAt    = 20 * time.Second
	spread    = 3 * time.Second // greatest difference between the last confirmations of instances
	instances = 30
)

// confirmations returns when each instance last confirmed its configuration with
// the store, if the first lost instances were cut off from it at lostAt.
func confirmations(now time.Duration, lost int) []time.Duration {
	list := make([]time.Duration, instances)
	for i := range list {
		list[i] = now - time.Duration(i)*spread/instances
		if i < lost {
			list[i] = min(list[i], lostAt-time.Duration(i)*spread/instances)
		}
	}
	return list
}

// simulate has all instances report to all others, and returns when each instance
// first lagged; zero for never.
func simulate(lost int) []time.Duration {
	detectors := make([]*storelag.Detector, instances)
	for i := range detectors {
		detectors[i] = storelag.New()
	}
	first := make([]time.Duration, instances)
	for now := lostAt - 10*time.Second; now < lostAt+time.Minute; now += interval {
		at := confirmations(now, lost)
		for i, d := range detectors {
			for k := range at {
				if k != i {
					d.Observe(at[k])
				}
			}
			if first[i] == 0 && d.Behind(at[i], now) {
				first[i] = now
			}
		}
	}
	return first
}

// Guards against handovers between instances during an outage of the store for
// all: all confirmations are old then, and differ only slightly.
func TestNoInstanceLagsInFullStoreOutage(t *testing.T) {
	NewWithT(t).Expect(simulate(instances)).To(HaveEach(time.Duration(0)))
}

// Guards against a coordinator that keeps its role after it was cut off from a
// store that the others still reach, and against others that count as lagging.
func TestInstanceCutOffFromStoreLags(t *testing.T) {
	g := NewWithT(t)
	for i, at := range simulate(5) {
		if i < 5 {
			g.Expect(at).To(And(BeNumerically(">", lostAt+storelag.MinAge-spread), BeNumerically("<=", lostAt+storelag.MinAge+time.Second)), "instance %d", i)
			continue
		}
		g.Expect(at).To(BeZero(), "instance %d", i)
	}
}

func TestInstanceWithoutPeersNeverLags(t *testing.T) {
	NewWithT(t).Expect(storelag.New().Behind(0, time.Hour)).To(BeFalse())
}
