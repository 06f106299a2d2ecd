package picker

// This file defines group, the endpoints of a role and model in one table version.

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/outlier"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	refresh     = 500 * time.Millisecond // time between two judgements of outliers
	leastSaving = 2.0
	nearMargin  = 2 * time.Millisecond // one-way delay above the least that counts as near
)

type key struct{ role, model string }

type member struct {
	*endpoint.Endpoint
	row    *board.Row
	weight float64       // of row and data centre, relative to the greatest of the group
	far    time.Duration // one-way delay
	share  int           // this instance's share of the row's limit; 0 for no limit
}

// group holds the members with weight of which this instance may use some, the nearest first.
type group struct {
	members  []member
	shut     int // rows with weight whose limit gives this instance no share
	near     int // members that are about as near as the nearest
	names    map[string]int
	eject    float64
	price    float64 // mean price of a busy second
	saving   float64 // worth of a second of cached prompt, in seconds of latency
	detector *outlier.Detector
	judged   atomic.Int64 // nanoseconds
	turn     atomic.Uint64
}

func (p *Picker) newGroup(s *sheet.Sheet, k key) *group {
	g := &group{names: make(map[string]int), eject: s.Policy.Eject, saving: saving(s.Policy), detector: p.detector(k)}
	greatest := 0.0
	for _, e := range s.Role(k.role) {
		w := s.Weight(e.Name)
		if w <= 0 || !e.Serves(k.model) {
			continue
		}
		m := member{Endpoint: e, row: p.board.Row(e.Name), weight: w, far: s.Centre(e.Centre).Far[p.centre].Duration()}
		m.share = p.share(e, s.Policy.Seats)
		if e.Limit > 0 && m.share == 0 {
			g.shut++
			continue
		}
		greatest = max(greatest, w)
		g.members = append(g.members, m)
		g.price += e.Cost
	}
	slices.SortStableFunc(g.members, func(a, b member) int { return int(a.far - b.far) })
	for i := range g.members {
		g.members[i].weight /= greatest
		g.names[g.members[i].Name] = i
		if g.members[i].far <= g.members[0].far+nearMargin {
			g.near = i + 1
		}
	}
	g.price /= float64(max(1, len(g.members)))
	return g
}

// saving weighs what a cached prefix saves: it shortens the call and frees the
// engine for others, the more so where the table weighs cost.
func saving(p *policy.Policy) float64 { return leastSaving * (1 + p.Patience()) }

// judge lets the detector look at all members, at most once each refresh.
func (g *group) judge(now time.Time) {
	last := g.judged.Load()
	if now.UnixNano()-last < int64(refresh) || !g.judged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	samples := make([]outlier.Sample, len(g.members))
	for i := range g.members {
		st := g.members[i].row.Get()
		samples[i] = outlier.Sample{
			Name: g.members[i].Name, Calls: st.Calls, Errors: st.Errors, Latency: latencyOf(&st, now),
		}
	}
	g.detector.Update(samples, g.eject, now)
}

// none says why the group is empty.
func (g *group) none() Reason {
	if g.shut > 0 {
		return Reason{Ground: NoShare, Of: g.shut}
	}
	return Reason{Ground: NoRow}
}
