// Package picker chooses the endpoint of a call. A decision is a function of
// the table, the board and the query; it does no input or output and, on the
// usual path, allocates nothing.
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
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/outlier"
	"github.com/jacinthstile/jacinthstile/internal/routing/rule"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Query describes the call that needs an endpoint.
type Query struct {
	Role   string
	Model  string        // empty where any endpoint of the role will do
	Blocks []uint64      // blocks of the prompt, see prefix.Blocks
	Expect time.Duration // service time to assume where none was measured
	Tried  []string      // endpoints that failed this call already
	Again  bool          // a tried endpoint may be chosen where no other is usable
	Now    time.Time
}

// Choice is a decision and its reason.
type Choice struct {
	Endpoint *endpoint.Endpoint // nil where none may take the call now
	Full     bool               // all usable endpoints are at their concurrency limit: the call may wait
	Load     float64            // mean load of the candidates seen, in calls for each slot
	Reason   Reason
}

// Picker chooses by one rule. It is safe for concurrent use.
type Picker struct {
	centre string
	rule   rule.Rule
	board  *board.Board
	seed   uint64
	draws  atomic.Uint64
	seat   atomic.Pointer[seat]

	mu        sync.Mutex
	detectors map[key]*outlier.Detector
	index     atomic.Pointer[index]
}

// seat is the instance's place among those that share the limits of endpoints.
type seat struct{ number, seats int }

// index holds the groups of one table version.
type index struct {
	sheet  *sheet.Sheet
	seat   *seat
	mu     sync.RWMutex
	groups map[key]*group
}

// New returns a picker for an instance in the given data centre. Pickers with
// the same seed and history choose alike.
func New(centre string, r rule.Rule, b *board.Board, seed uint64) *Picker {
	return &Picker{centre: centre, rule: r, board: b, seed: seed, detectors: make(map[key]*outlier.Detector)}
}

// Seat sets which of the seats that share the limits of endpoints is this
// instance's; seats of zero stands for the number in the table. Until then the
// instance uses each limit as if it were alone. A number outside 0 to seats-1
// has no share of any limit.
func (p *Picker) Seat(number, seats int) { p.seat.Store(&seat{number, seats}) }

// Allowed reports whether an endpoint may get new work: it has weight and is
// not leaving. It is to be asked again just before each send.
func Allowed(s *sheet.Sheet, b *board.Board, name string) bool {
	return s.Weight(name) > 0 && !b.Leaving(name)
}

// Pick chooses an endpoint. Endpoints that are not Allowed are never chosen.
func (p *Picker) Pick(s *sheet.Sheet, q Query) Choice {
	g := p.group(s, key{q.Role, q.Model})
	if len(g.members) == 0 {
		return Choice{Reason: g.none()}
	}
	c := p.choose(g, q)
	if c.Reason.Ground == Unusable && q.Again && len(q.Tried) > 0 {
		q.Tried = nil
		return p.choose(g, q)
	}
	return c
}

func (p *Picker) choose(g *group, q Query) Choice {
	switch r := p.rule.(type) {
	case rule.Random:
		return p.plain(g, q, 1, false)
	case rule.TwoChoices:
		return p.plain(g, q, 2, false)
	case rule.LeastInFlight:
		return p.plain(g, q, len(g.members), false)
	case rule.RoundRobin:
		return p.plain(g, q, 1, true)
	case rule.Predicted:
		g.judge(q.Now)
		if r.Blind {
			q.Blocks = nil
		}
		return p.predict(g, q)
	default:
		panic(fmt.Sprintf("picker: got rule %T, want one of package rule", r))
	}
}

func (p *Picker) group(s *sheet.Sheet, k key) *group {
	ix := p.index.Load()
	if ix == nil || ix.sheet != s || ix.seat != p.seat.Load() {
		ix = &index{sheet: s, seat: p.seat.Load(), groups: make(map[key]*group)}
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
		g = p.newGroup(s, k)
		ix.groups[k] = g
	}
	return g
}

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

// share returns the calls that this instance may have in flight at an endpoint; 0 for no limit or no share.
func (p *Picker) share(e *endpoint.Endpoint, seats int) int {
	st := p.seat.Load()
	if e.Limit == 0 || st == nil {
		return e.Limit
	}
	if st.seats > 0 {
		seats = st.seats
	}
	return concurrency.Share(e.Limit, st.number, seats, e.Name)
}

// draw returns a pseudo-random number below n.
func (p *Picker) draw(n int) int {
	v := rand.NewPCG(p.seed, p.draws.Add(1))
	return int(v.Uint64() % uint64(n))
}

func (p *Picker) usable(m *member, q *Query) bool {
	return !p.board.Leaving(m.Name) && !slices.Contains(q.Tried, m.Name)
}
