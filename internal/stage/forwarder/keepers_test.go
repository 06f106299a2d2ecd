package forwarder

// This file tests which keepers are told the streams that began before.

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/election"
)

// TestKeepersThatKnowNothingAreTold guards against a keeper that never learns what began the streams of before:
// it was started again between two polls, or a message to it was lost.
func TestKeepersThatKnowNothingAreTold(t *testing.T) {
	keepers := func(starts map[string]int64) (list []election.Candidate) {
		for address, start := range starts {
			list = append(list, election.Candidate{Address: address, StartTime: start})
		}
		return list
	}
	for name, c := range map[string]struct {
		before, next map[string]int64
		lost         string // address to which a message was lost
		want         []string
	}{
		"the same":      {map[string]int64{"a": 1, "b": 1}, map[string]int64{"a": 1, "b": 1}, "", nil},
		"another one":   {map[string]int64{"a": 1, "b": 1}, map[string]int64{"a": 1, "c": 1}, "", []string{"c"}},
		"started again": {map[string]int64{"a": 1, "b": 1}, map[string]int64{"a": 1, "b": 2}, "", []string{"b"}},
		"message lost":  {map[string]int64{"a": 1, "b": 1}, map[string]int64{"a": 1, "b": 1}, "a", []string{"a"}},
		"first ones":    {nil, map[string]int64{"a": 1}, "", []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newOrigins()
			o.replaceKeepers(keepers(c.before))
			o.forgetKeeper(c.lost)
			g.Expect(o.replaceKeepers(keepers(c.next))).To(ConsistOf(c.want))
		})
	}
}
