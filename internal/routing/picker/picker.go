// Package picker provides the load balancer that chooses the endpoint for a
// call. A decision depends on the routing table, the endpoint statistics, the
// outlier detection and the query only. It does no I/O and, unless the table or
// this instance's seat (see SetSeat) has changed or the outlier detection is due,
// no allocations.
package picker

// This file defines Picker, Query and Choice.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/concurrency"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/outlier"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Query describes a call that needs an endpoint.
type Query struct {
	Role                string
	Model               string        // empty if any endpoint of the role will do
	Blocks              []uint64      // block hashes of the prompt, see prefix.Blocks
	FallbackServiceTime time.Duration // service time to assume if none was measured; zero for a default
	Tried               []string      // names of endpoints that already failed this call
	AllowTried          bool          // choose among the tried endpoints if no other is usable
	Now                 time.Time
}

// Choice is a decision and its reason.
type Choice struct {
	Endpoint *endpoint.Endpoint // nil if none can take the call now
	Full     bool               // no endpoint was chosen because all usable ones are at their concurrency limit, so the call can wait
	Load     float64            // mean predicted load of the compared candidates in calls per slot; set by Predicted only
	Reason   Reason
}

// Picker chooses endpoints by one strategy. It is safe for concurrent use.
type Picker struct {
	centre   string
	strategy strategy.Strategy
	stats    *endpointstats.Tracker
	seed     uint64
	draws    atomic.Uint64 // random numbers drawn so far
	seat     atomic.Pointer[seat]

	mu        sync.Mutex
	detectors map[key]*outlier.Detector
	index     atomic.Pointer[index]
}

// seat is this instance's number among the instances that share the concurrency
// limits of endpoints.
type seat struct{ number, seats int }

// index holds the groups of one version of the table. They are built on first use.
type index struct {
	table  *fleettable.Table
	seat   *seat
	mu     sync.RWMutex
	groups map[key]*group
}

// New returns a picker for an instance in the given data centre. Pickers with
// the same seed, statistics and sequence of queries make the same choices.
func New(centre string, st strategy.Strategy, stats *endpointstats.Tracker, seed uint64) *Picker {
	return &Picker{centre: centre, strategy: st, stats: stats, seed: seed, detectors: make(map[key]*outlier.Detector)}
}

// SetSeat sets this instance's number among the seats that share the concurrency
// limits of endpoints. If seats is zero, the number of seats is that in the
// table. Until SetSeat is called the instance uses the whole of each limit. An
// instance whose number is not in 0 to seats-1 has no share of any limit.
func (p *Picker) SetSeat(number, seats int) { p.seat.Store(&seat{number, seats}) }

// Allowed reports whether an endpoint may get new work, that is whether it has
// weight and is not leaving. Callers must check it again just before each send,
// because the table or the set of leaving endpoints may have changed since Pick.
func Allowed(table *fleettable.Table, stats *endpointstats.Tracker, name string) bool {
	return table.Weight(name) > 0 && !stats.Leaving(name)
}

// Pick chooses an endpoint for a call. It never chooses one that is not Allowed.
func (p *Picker) Pick(table *fleettable.Table, q Query) Choice {
	g := p.group(table, key{q.Role, q.Model})
	if len(g.members) == 0 {
		return Choice{Reason: g.emptyReason()}
	}
	c := p.choose(g, q)
	if c.Reason.Code == NoneUsable && q.AllowTried && len(q.Tried) > 0 {
		q.Tried = nil
		return p.choose(g, q)
	}
	return c
}

func (p *Picker) choose(g *group, q Query) Choice {
	switch st := p.strategy.(type) {
	case strategy.Random:
		return p.plain(g, q, 1, false)
	case strategy.TwoChoices:
		return p.plain(g, q, 2, false)
	case strategy.LeastInFlight:
		return p.plain(g, q, len(g.members), false)
	case strategy.RoundRobin:
		return p.plain(g, q, 1, true)
	case strategy.Predicted:
		g.updateOutliers(q.Now)
		if st.IgnorePrefixes {
			q.Blocks = nil
		}
		return p.predict(g, q)
	default:
		panic(fmt.Sprintf("picker: got strategy %T, want one of package strategy", st))
	}
}

// group returns the group of a role and model, and creates it if the table or the
// seat has changed since the last call.
func (p *Picker) group(table *fleettable.Table, k key) *group {
	ix := p.index.Load()
	if ix == nil || ix.table != table || ix.seat != p.seat.Load() {
		ix = &index{table: table, seat: p.seat.Load(), groups: make(map[key]*group)}
		p.index.Store(ix)
	}
	ix.mu.RLock()
	g := ix.groups[k]
	ix.mu.RUnlock()
	if g != nil {
		return g
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if g = ix.groups[k]; g == nil {
		g = p.newGroup(table, k)
		ix.groups[k] = g
	}
	return g
}

// detector returns the outlier detector of a role and model. It lasts as long as
// the picker, so that ejections outlive a change of the table.
func (p *Picker) detector(k key) *outlier.Detector {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.detectors[k]
	if d == nil {
		d = outlier.New()
		p.detectors[k] = d
	}
	return d
}

// share returns how many calls this instance may have in flight at an endpoint.
// It is 0 if the endpoint has no limit, or if this instance has no share of it.
func (p *Picker) share(e *endpoint.Endpoint, seats int) int {
	own := p.seat.Load()
	if e.Limit == 0 || own == nil {
		return e.Limit
	}
	if own.seats > 0 {
		seats = own.seats
	}
	return concurrency.Share(e.Limit, own.number, seats, e.Name)
}

// draw returns a pseudo-random number in 0 to n-1.
func (p *Picker) draw(n int) int {
	v := rand.NewPCG(p.seed, p.draws.Add(1))
	return int(v.Uint64() % uint64(n))
}

// usable reports whether a member is neither leaving nor among the tried endpoints.
func (p *Picker) usable(m *member, q *Query) bool {
	return !p.stats.Leaving(m.Name) && !slices.Contains(q.Tried, m.Name)
}
