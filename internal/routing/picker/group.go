package picker

// This file defines group, the endpoints for one role and model in one version of the table.

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/outlier"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

const (
	outlierInterval = 500 * time.Millisecond // least time between two runs of the outlier detection
	minPrefixSaving = 2.0                    // prefixSaving of a table whose policy gives cost no weight
	nearMargin      = 2 * time.Millisecond   // a member is near if its one-way delay is at most this much above the least
)

// key identifies a group.
type key struct{ role, model string }

type member struct {
	*endpoint.Endpoint
	stats  *endpointstats.Entry
	weight float64       // of endpoint and data centre together, relative to the greatest in the group
	delay  time.Duration // one-way network delay
	share  int           // this instance's share of the endpoint's concurrency limit; 0 for no limit
}

// group holds the endpoints that have weight and of whose concurrency limit this
// instance has a share, in order of network delay.
type group struct {
	members      []member
	numNoShare   int // endpoints left out because this instance has no share of their limit
	numNear      int // the first numNear members are near, see nearMargin
	byName       map[string]int
	ejectShare   float64 // greatest share of the members that may be ejected at the same time
	meanPrice    float64 // mean price of a second of service
	prefixSaving float64 // weight in the score of a second saved by a cached prefix, relative to a second of latency
	detector     *outlier.Detector
	lastUpdate   atomic.Int64  // last run of the outlier detection, nanoseconds since the epoch
	nextStart    atomic.Uint64 // for RoundRobin
}

func (p *Picker) newGroup(table *fleettable.Table, k key) *group {
	g := &group{byName: make(map[string]int), ejectShare: table.Policy.MaxEjected, prefixSaving: prefixSaving(table.Policy), detector: p.detector(k)}
	greatest := 0.0
	for _, e := range table.EndpointsByRole(k.role) {
		w := table.Weight(e.Name)
		if w <= 0 || !e.Serves(k.model) {
			continue
		}
		m := member{Endpoint: e, stats: p.stats.Entry(e.Name), weight: w, delay: table.Centre(e.Centre).OneWayDelay[p.centre].Duration()}
		m.share = p.share(e, table.Policy.Seats)
		if e.Limit > 0 && m.share == 0 {
			g.numNoShare++
			continue
		}
		greatest = max(greatest, w)
		g.members = append(g.members, m)
		g.meanPrice += e.Cost
	}
	slices.SortStableFunc(g.members, func(a, b member) int { return int(a.delay - b.delay) })
	for i := range g.members {
		g.members[i].weight /= greatest
		g.byName[g.members[i].Name] = i
		if g.members[i].delay <= g.members[0].delay+nearMargin {
			g.numNear = i + 1
		}
	}
	g.meanPrice /= float64(max(1, len(g.members)))
	return g
}

// prefixSaving returns the weight in the score of a second saved by a cached prefix,
// relative to a second of latency. It is more than one because a cached prefix both shortens the
// call and frees the engine for other calls; it grows with the weight of cost in
// the policy.
func prefixSaving(p *policy.Policy) float64 { return minPrefixSaving * (1 + p.CostShare()) }

// updateOutliers runs the outlier detection over all members, at most once each
// outlierInterval.
func (g *group) updateOutliers(now time.Time) {
	last := g.lastUpdate.Load()
	if now.UnixNano()-last < int64(outlierInterval) || !g.lastUpdate.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	samples := make([]outlier.Sample, len(g.members))
	for i := range g.members {
		st := g.members[i].stats.Get()
		samples[i] = outlier.Sample{
			Name: g.members[i].Name, Calls: st.Calls, ErrorRate: st.ErrorRate, Latency: latencyOf(&st, now),
		}
	}
	g.detector.Update(samples, g.ejectShare, now)
}

// emptyReason returns why the group has no members.
func (g *group) emptyReason() Reason {
	if g.numNoShare > 0 {
		return Reason{Code: NoShare, GroupSize: g.numNoShare}
	}
	return Reason{Code: NotInTable}
}
