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
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
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
	Only                []string      // names of the endpoints that may get the call; nil for all
	Now                 time.Time

	use cooldown.Use // zero for Usual
}

// Choice is a decision and its reason.
type Choice struct {
	Endpoint *endpoint.Endpoint // nil if none can take the call now
	Full     bool               // no endpoint was chosen because all usable ones are at their concurrency limit, so the call can wait
	Use      cooldown.Use       // how much the endpoint is needed
	Left     time.Duration      // if all usable endpoints asked for a pause, the time until the first one ends
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
	newest    map[key]*group // the group of each key that was built last
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
	return &Picker{centre: centre, strategy: st, stats: stats, seed: seed, detectors: make(map[key]*outlier.Detector), newest: make(map[key]*group)}
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

// Pick chooses an endpoint for a call. It never chooses one that is not Allowed or that has
// a limit for all instances, and one that asked for a pause only as package cooldown allows. The caller must Take the
// call from the cooldown with the Use of the choice.
func (p *Picker) Pick(table *fleettable.Table, q Query) Choice {
	g := p.group(table, key{q.Role, q.Model})
	if len(g.members) == 0 {
		return Choice{Reason: g.emptyReason()}
	}
	c := p.choose(g, q)
	if c.Reason.Code == NoneUsable && q.AllowTried && len(q.Tried) > 0 {
		q.Tried = nil
		c = p.choose(g, q)
	}
	if c.Reason.Code == NoneUsable {
		return p.chooseInPause(g, q, c)
	}
	return c
}

// maxRampWait is the longest time for which a call waits for an endpoint whose pause
// has ended, but which gets its calls one by one.
const maxRampWait = 100 * time.Millisecond

// chooseInPause chooses among endpoints that asked for a pause, for a call for which
// no other one is usable. none is the choice without these endpoints.
func (p *Picker) chooseInPause(g *group, q Query, none Choice) Choice {
	left := p.pauseLeft(g, &q)
	switch {
	case left == 0:
		return none
	case left <= maxRampWait:
		none.Full = true
		none.Reason.Code = Paused
		return none
	}
	q.use = cooldown.LastResort
	c := p.choose(g, q)
	if c.Endpoint == nil {
		none.Left, none.Reason.Code = left, Paused
		return none
	}
	c.Use = cooldown.LastResort
	return c
}

// pauseLeft returns the time until the first member that is usable otherwise may get a
// call; zero if none asked for a pause.
func (p *Picker) pauseLeft(g *group, q *Query) time.Duration {
	var least time.Duration
	for i := range g.members {
		m := &g.members[i]
		if p.stats.Leaving(m.Name) || slices.Contains(q.Tried, m.Name) || !q.admits(m.Name) {
			continue
		}
		if left := p.stats.Cooldown().Left(m.Name, q.Now); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

func (p *Picker) choose(g *group, q Query) Choice {
	if q.use == 0 {
		q.use = cooldown.Usual
	}
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
		p.forgetReturned(g, k)
	}
	return g
}

// forgetReturned forgets what is known of the members of a new group that were not in the group which it
// replaces. They may have been slow, or failed, because they were about to stop.
func (p *Picker) forgetReturned(g *group, k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.newest[k]
	p.newest[k] = g
	if before == nil {
		return
	}
	for i := range g.members {
		if _, ok := before.byName[g.members[i].Name]; !ok {
			g.members[i].stats.Forget()
		}
	}
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

// admits reports whether the endpoint is one of those that may get the call.
func (q *Query) admits(name string) bool { return q.Only == nil || slices.Contains(q.Only, name) }

// usable reports whether a member may get the call and is neither leaving, nor among the tried
// endpoints, nor in a pause, nor limits the requests of all instances. What such a limit allows is not for
// one instance to take.
func (p *Picker) usable(m *member, q *Query) bool {
	return !p.stats.Leaving(m.Name) && !slices.Contains(q.Tried, m.Name) && q.admits(m.Name) && p.stats.Cooldown().Allows(m.Name, q.use, q.Now) &&
		!p.stats.Limits().Limited(m.Name)
}
