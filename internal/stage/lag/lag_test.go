package lag_test

// This file replays stores that are away.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/lag"
)

const (
	everySo   = 300 * time.Millisecond // that instances hear of each other
	lostAt    = 20 * time.Second
	spread    = 3 * time.Second // between the last proofs of instances
	instances = 30
)

// proofs returns when the last proof of each instance was made, for a store
// that was lost at lostAt by the first few and is still there for the rest.
func proofs(now time.Duration, lost int) []time.Duration {
	list := make([]time.Duration, instances)
	for i := range list {
		list[i] = now - time.Duration(i)*spread/instances
		if i < lost {
			list[i] = min(list[i], lostAt-time.Duration(i)*spread/instances)
		}
	}
	return list
}

// play has all instances hear of all others, and returns when each lagged first; zero for never.
func play(lost int) []time.Duration {
	lags := make([]*lag.Lag, instances)
	for i := range lags {
		lags[i] = lag.New()
	}
	first := make([]time.Duration, instances)
	for now := lostAt - 10*time.Second; now < lostAt+time.Minute; now += everySo {
		at := proofs(now, lost)
		for i, l := range lags {
			for k := range at {
				if k != i {
					l.Heard(at[k])
				}
			}
			if first[i] == 0 && l.Behind(at[i], now) {
				first[i] = now
			}
		}
	}
	return first
}

func TestNobodyLagsWhereTheStoreIsAwayForAll(t *testing.T) {
	NewWithT(t).Expect(play(instances)).To(HaveEach(time.Duration(0)))
}

func TestWhoIsCutOffLags(t *testing.T) {
	g := NewWithT(t)
	for i, at := range play(5) {
		if i < 5 {
			g.Expect(at).To(And(BeNumerically(">", lostAt+lag.Old-spread), BeNumerically("<=", lostAt+lag.Old+time.Second)), "instance %d", i)
			continue
		}
		g.Expect(at).To(BeZero(), "instance %d", i)
	}
}

func TestAloneNobodyLags(t *testing.T) {
	NewWithT(t).Expect(lag.New().Behind(0, time.Hour)).To(BeFalse())
}
