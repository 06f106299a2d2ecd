package picker

// This file defines the rule Predicted.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

const (
	scanAll    = 24 // groups up to this size are compared as a whole
	drawnNear  = 6  // candidates drawn from the near members of a greater group
	drawnAll   = 3  // candidates drawn from all members
	rounds     = 3  // times to draw while all candidates are at their limit
	mostViews  = scanAll + prefix.MostHeld
	assumed    = time.Second      // service time where nothing is known
	memory     = 10 * time.Second // time after which a measured latency counts half
	trust      = 2 * time.Second  // age at which a load report counts half
	slotsGuess = 16               // slots where neither table nor endpoint says
	headroom   = 1.5              // calls for each slot that may be at an endpoint
	crowding   = 0.5              // how much a full batch slows each call, as a share
	faultCost  = 1.0              // service times added for each failure since the last success
	faultFade  = 5 * time.Second  // time in which that addition fades
	mostFaults = 5
	halfOpen   = 3 // failures in a row after which one call at a time is sent
)

// view is a member with what the board says of it, during one decision.
type view struct {
	*member
	stat    board.Stat
	held    int
	service time.Duration
	load    float64
	slots   float64
	full    bool
	out     bool
}

// views is the working set of a decision; it stays on the stack.
type views struct {
	list [mostViews]view
	n    int
}

func (p *Picker) predict(g *group, q Query) Choice {
	var vs views
	var held [prefix.MostHeld]prefix.Held
	holders := 0
	if len(q.Blocks) > 0 {
		holders = p.board.Holders(q.Blocks, &held)
	}
	seen := 0
	for round := range rounds {
		vs.n = 0
		p.collect(g, &q, &vs, held[:holders], round)
		seen += vs.n
		vs.estimate(&q)
		if best := vs.best(g, &q); best != nil {
			return choice(best, &vs, g, &q, seen)
		}
		if len(g.members) <= scanAll {
			break
		}
	}
	c := Choice{Reason: Reason{Ground: Unusable, Seen: seen, Of: len(g.members)}}
	if vs.n > 0 {
		c.Full = true
		c.Load = vs.mean()
		c.Reason.Ground = AtLimit
	}
	return c
}

func choice(best *view, vs *views, g *group, q *Query, seen int) Choice {
	ground := Predicted
	if best.out {
		ground = Ejected
	}
	return Choice{
		Endpoint: best.Endpoint,
		Load:     vs.mean(),
		Reason: Reason{
			Ground: ground, Wait: best.wait(), Service: best.service, Load: best.load,
			Held: best.held, Blocks: len(q.Blocks), Seen: seen, Of: len(g.members),
		},
	}
}

// collect fills vs with the candidates: all members of a small group, else
// some near ones, some of all, and those that hold a prefix of the prompt.
func (p *Picker) collect(g *group, q *Query, vs *views, held []prefix.Held, round int) {
	if n := len(g.members); n <= scanAll {
		start := p.draw(n)
		for i := range n {
			p.add(&g.members[(start+i)%n], q, vs)
		}
	} else {
		if round == 0 {
			for range drawnNear {
				p.add(&g.members[p.draw(g.near)], q, vs)
			}
		}
		for range drawnAll << round {
			p.add(&g.members[p.draw(n)], q, vs)
		}
	}
	for _, h := range held {
		i, ok := g.names[h.Name]
		if !ok {
			continue
		}
		if v := p.add(&g.members[i], q, vs); v != nil {
			v.held = h.Blocks
		}
	}
	if !g.detector.Quiet(q.Now) {
		for i := range vs.n {
			vs.list[i].out = g.detector.Out(vs.list[i].Name, q.Now)
		}
	}
}

// add returns the view of a usable member, or nil.
func (p *Picker) add(m *member, q *Query, vs *views) *view {
	for i := range vs.n {
		if vs.list[i].member == m {
			return &vs.list[i]
		}
	}
	if vs.n == mostViews || !p.usable(m, q) {
		return nil
	}
	v := &vs.list[vs.n]
	*v = view{member: m, stat: m.row.Get()}
	vs.n++
	return v
}

// estimate predicts service time and load of each candidate. Where a latency
// is old or unknown, the mean of the others stands in for it.
func (vs *views) estimate(q *Query) {
	var sum time.Duration
	known, own, others := 0, 0, 0
	for i := range vs.n {
		st := &vs.list[i].stat
		if st.Latency > 0 && !vs.list[i].out {
			sum += st.Latency
			known++
		}
		own += st.Own
		others += max(0, st.Load-st.Own)
	}
	usual := q.Expect
	if known > 0 {
		usual = sum / time.Duration(known)
	}
	if usual == 0 {
		usual = assumed
	}
	siblings := 0.0
	if own > 0 {
		siblings = float64(others) / float64(own)
	}
	for i := range vs.n {
		vs.list[i].predict(usual, siblings, q.Now)
	}
}

func (v *view) predict(usual time.Duration, siblings float64, now time.Time) {
	v.service = usual
	if l := latencyOf(&v.stat, now); l > 0 {
		v.service = usual + time.Duration(fade(now.Sub(v.stat.Last), memory)*float64(l-usual))
		v.service = max(v.service, v.stat.Age(now))
	}
	v.slots = float64(v.stat.Slots)
	if v.slots == 0 {
		v.slots = slotsGuess
		if v.Limit > 0 {
			v.slots = float64(v.Limit)
		}
	}
	v.slots *= v.weight
	v.load = loadOf(&v.stat, siblings, now)
	v.full = v.isFull()
}

// latencyOf returns the measured latency, or the age of the calls in flight
// where that is more: a call that has not ended yet is evidence too.
func latencyOf(st *board.Stat, now time.Time) time.Duration {
	return max(st.Latency, st.Age(now))
}

// loadOf predicts the calls at an endpoint: own ones, and those of the other
// instances. These are taken from the last report; the older it is, the more
// they are assumed to do as this instance does.
func loadOf(st *board.Stat, siblings float64, now time.Time) float64 {
	own := float64(st.InFlight)
	alike := siblings * own
	if st.Reported.IsZero() {
		return own + alike
	}
	fresh := fade(now.Sub(st.Reported), trust)
	reported := float64(max(0, st.Load-st.Own))
	return own + fresh*reported + (1-fresh)*alike
}

// fade falls from 1 at age zero to a half at age half, and on towards zero.
func fade(age, half time.Duration) float64 {
	return float64(half) / float64(half+max(0, age))
}

func (v *view) isFull() bool {
	if v.share > 0 && v.stat.InFlight >= v.share {
		return true
	}
	if v.stat.Failures >= halfOpen && v.stat.InFlight > 0 {
		return true
	}
	if v.stat.Slots > 0 {
		return v.load >= headroom*float64(v.stat.Slots)
	}
	return v.stat.InFlight >= v.stat.Limit
}

// best returns the candidate with the least score that is not full, ejected
// ones only where no other is usable at all.
func (vs *views) best(g *group, q *Query) *view {
	var best *view
	var least float64
	whole := false // a candidate that is not ejected was seen
	for i := range vs.n {
		whole = whole || !vs.list[i].out
	}
	for i := range vs.n {
		v := &vs.list[i]
		if v.full || whole && v.out {
			continue
		}
		if s := v.score(g, q); best == nil || s < least {
			best, least = v, s
		}
	}
	return best
}

// score is the predicted time until the answer, with price and failures in the
// same unit, seconds.
func (v *view) score(g *group, q *Query) float64 {
	service := v.service.Seconds()
	t := 2*v.far.Seconds() + v.wait().Seconds() + service*(1+crowding*v.load/v.slots)
	if n := len(q.Blocks); n > 0 && v.held > 0 {
		t -= g.saving * v.stat.First.Seconds() * float64(v.held) / float64(n)
	}
	if f := min(v.stat.Failures, mostFaults); f > 0 {
		t += service * faultCost * float64(f) * fade(q.Now.Sub(v.stat.Last), faultFade)
	}
	if g.price > 0 {
		t += service * (v.Cost/g.price - 1)
	}
	return t
}

// wait predicts the time until a slot is free.
func (v *view) wait() time.Duration {
	over := v.load + 1 - v.slots
	if over <= 0 {
		return 0
	}
	return time.Duration(over / v.slots * float64(v.service))
}

func (vs *views) mean() float64 {
	load, slots := 0.0, 0.0
	for i := range vs.n {
		load += vs.list[i].load
		slots += vs.list[i].slots
	}
	return load / slots
}
