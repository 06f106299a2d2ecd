package picker

// This file implements the strategy Predicted.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

const (
	maxScan       = 24 // in a group of up to this many members, all members are candidates
	numDrawNear   = 6  // candidates drawn from the near members of a larger group
	numDraw       = 3  // candidates drawn from all members of a larger group; doubled in each further round
	maxRounds     = 3  // rounds of drawing while all candidates are at their limit
	maxCandidates = maxScan + prefix.MaxMatches

	defaultService  = time.Second      // service time if none was measured or given
	latencyHalfLife = 10 * time.Second // age at which a measured latency has half its weight
	reportHalfLife  = 2 * time.Second  // age at which a load report has half its weight
	defaultSlots    = 16               // slots of an endpoint if neither the table nor the endpoint gives a number
	maxLoad         = 1.5              // an endpoint with this many calls per slot is full
	batchSlowdown   = 0.5              // relative increase of the service time at a load of one call per slot

	failurePenalty    = 1.0             // added to the score for each consecutive failure, in service times
	failureHalfLife   = 5 * time.Second // time since the last call at which that penalty is halved
	maxPenalties      = 5               // greatest number of consecutive failures that raise the score
	halfOpenThreshold = 3               // an endpoint with this many consecutive failures gets one call at a time
)

// candidate is a member with its statistics and the predictions from them,
// during one decision.
type candidate struct {
	*member
	stat         endpointstats.Stats
	cachedBlocks int           // length of the cached prefix of the prompt
	service      time.Duration // predicted service time
	load         float64       // predicted calls of all instances
	slots        float64       // calls that can run at once, scaled by the weight
	full         bool          // at its concurrency limit
	ejected      bool          // by the outlier detection
	held         bool          // starts slowly, and is left to other instances
}

// candidates is the working set of a decision. Its size is fixed so that it stays
// on the stack.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

// predict chooses the candidate with the lowest score. If all candidates from a
// large group are at their limits, it draws more of them in up to maxRounds rounds.
func (p *Picker) predict(g *group, q Query) Choice {
	var cs candidates
	var matches [prefix.MaxMatches]prefix.Match
	holders := 0
	if len(q.Blocks) > 0 {
		holders = p.stats.Holders(q.Blocks, &matches)
	}
	compared := 0
	for round := range maxRounds {
		cs.n = 0
		p.collect(g, &q, &cs, matches[:holders], round)
		compared += cs.n
		cs.estimate(&q)
		if best := cs.best(g, &q); best != nil {
			return choice(best, &cs, g, &q, compared)
		}
		if len(g.members) <= maxScan {
			break
		}
	}
	c := Choice{Reason: Reason{Code: NoneUsable, Compared: compared, GroupSize: len(g.members)}}
	if cs.n > 0 {
		c.Full = true
		c.Load = cs.meanLoad()
		c.Reason.Code = AtLimit
	}
	return c
}

func choice(best *candidate, cs *candidates, g *group, q *Query, compared int) Choice {
	code := Predicted
	if best.ejected {
		code = OnlyEjected
	}
	return Choice{
		Endpoint: best.Endpoint,
		Load:     cs.meanLoad(),
		Reason: Reason{
			Code: code, Wait: best.wait(), Service: best.service, Load: best.load,
			CachedBlocks: best.cachedBlocks, PromptBlocks: len(q.Blocks), Compared: compared, GroupSize: len(g.members),
		},
	}
}

// collect fills cs with the candidates. These are all members of a small group;
// of a larger one, some random near members (in the first round), some random
// members, and those that are believed to have a prefix of the prompt cached.
// Leaving and tried members are left out. The random start in a small group
// breaks ties at random. Of a call that only some endpoints may get these are the
// candidates, since random members of a large group would seldom be among them.
func (p *Picker) collect(g *group, q *Query, cs *candidates, held []prefix.Match, round int) {
	if n := len(q.Only); n > 0 {
		start := p.draw(n)
		for i := range n {
			if m, ok := g.byName[q.Only[(start+i)%n]]; ok {
				p.add(&g.members[m], q, cs)
			}
		}
	} else if n := len(g.members); n <= maxScan {
		start := p.draw(n)
		for i := range n {
			p.add(&g.members[(start+i)%n], q, cs)
		}
	} else {
		if round == 0 {
			for range numDrawNear {
				p.add(&g.members[p.draw(g.numNear)], q, cs)
			}
		}
		for range numDraw << round {
			p.add(&g.members[p.draw(n)], q, cs)
		}
	}
	for _, h := range held {
		i, ok := g.byName[h.Name]
		if !ok {
			continue
		}
		if c := p.add(&g.members[i], q, cs); c != nil {
			c.cachedBlocks = h.Blocks
		}
	}
	if !g.detector.NoneEjected(q.Now) {
		for i := range cs.n {
			cs.list[i].ejected = g.detector.Ejected(cs.list[i].Name, q.Now)
		}
	}
}

// add adds a member to the candidates, unless it is among them, and returns its
// candidate. It returns nil if the member is not usable or cs is full.
func (p *Picker) add(m *member, q *Query, cs *candidates) *candidate {
	for i := range cs.n {
		if cs.list[i].member == m {
			return &cs.list[i]
		}
	}
	if cs.n == maxCandidates || !p.usable(m, q) {
		return nil
	}
	c := &cs.list[cs.n]
	*c = candidate{member: m, stat: m.stats.Get()}
	c.held = p.stats.SlowStarts().Holds(m.Name, q.Now)
	c.full = !p.stats.Brittle().HasRoom(m.Role, m.Name, c.stat.InFlight, q.Now)
	cs.n++
	return c
}

// estimate predicts the service time and load of each candidate. The mean latency
// of the candidates that are not ejected replaces in part a latency that is old. One that is
// unknown is replaced by the least: an endpoint gets calls before it is compared with others.
func (cs *candidates) estimate(q *Query) {
	var sum, least time.Duration
	measured, own, others := 0, 0, 0
	for i := range cs.n {
		st := &cs.list[i].stat
		if latency := st.LatencyAt(q.Now); latency > 0 && !cs.list[i].ejected {
			sum += latency
			if measured == 0 || latency < least {
				least = latency
			}
			measured++
		}
		own += st.OwnAtReport
		others += max(0, st.ReportedLoad-st.OwnAtReport)
	}
	typical := q.FallbackServiceTime
	if measured > 0 {
		typical = sum / time.Duration(measured)
	}
	if typical == 0 {
		typical = defaultService
	}
	if measured == 0 {
		least = typical
	}
	othersPerOwn := 0.0
	if own > 0 {
		othersPerOwn = float64(others) / float64(own)
	}
	for i := range cs.n {
		cs.list[i].predict(typical, least, othersPerOwn, q.Now)
	}
}

// predict sets the predictions of a candidate. typical and least are the mean and the least service time of
// the candidates, and othersPerOwn the number of calls of other instances for
// each own call, over all candidates.
func (c *candidate) predict(typical, least time.Duration, othersPerOwn float64, now time.Time) {
	c.service = least
	age := c.stat.InFlightAge(now)
	if latency := c.stat.LatencyAt(now); latency > 0 {
		c.service = typical + time.Duration(fade(now.Sub(c.stat.LastEnd), latencyHalfLife)*float64(max(latency, age)-typical))
	}
	c.service = max(c.service, age)
	c.slots = float64(c.stat.Slots)
	if c.slots == 0 {
		c.slots = defaultSlots
		if c.Limit > 0 {
			c.slots = float64(c.Limit)
		}
	}
	c.slots *= c.weight
	c.load = loadOf(&c.stat, othersPerOwn, now)
	c.full = c.full || c.isFull()
}

// latencyOf returns the measured latency, or the mean age of the calls in flight
// if that is greater, so that an endpoint that has stopped answering is noticed
// before its calls end.
func latencyOf(st *endpointstats.Stats, now time.Time) time.Duration {
	return max(st.Latency, st.InFlightAge(now))
}

// loadOf predicts the number of calls at an endpoint, those of other instances
// included. The calls of other instances are taken from the last load report. The
// older that is, the more weight goes to an estimate which assumes that the other
// instances spread their calls over the endpoints as this one does.
func loadOf(st *endpointstats.Stats, othersPerOwn float64, now time.Time) float64 {
	own := float64(st.InFlight)
	estimated := othersPerOwn * own
	if st.ReportedAt.IsZero() {
		return own + estimated
	}
	weight := fade(now.Sub(st.ReportedAt), reportHalfLife)
	reported := float64(max(0, st.ReportedLoad-st.OwnAtReport))
	return own + weight*reported + (1-weight)*estimated
}

// fade returns half/(half+age), which falls from 1 at age zero to a half at age
// half, and on towards zero.
func fade(age, half time.Duration) float64 {
	return float64(half) / float64(half+max(0, age))
}

// isFull reports whether the candidate can take no further call now. Its limits
// are this instance's share of the limit in the table, one call at a time after
// halfOpenThreshold consecutive failures, and then the load per slot if the
// endpoint has reported its slots, else the adaptive limit.
func (c *candidate) isFull() bool {
	if c.share > 0 && c.stat.InFlight >= c.share {
		return true
	}
	if c.stat.Failures >= halfOpenThreshold && c.stat.InFlight > 0 {
		return true
	}
	if c.stat.Slots > 0 {
		return c.load >= maxLoad*float64(c.stat.Slots)
	}
	return c.stat.InFlight >= c.stat.Limit
}

// best returns the candidate with the lowest score that is not full, or nil. It
// considers ejected candidates only if all candidates are ejected, and those that are left to other
// instances only if the call would wait at all others.
func (cs *candidates) best(g *group, q *Query) *candidate {
	var best *candidate
	var least float64
	anyHealthy := false // at least one candidate is not ejected
	for i := range cs.n {
		anyHealthy = anyHealthy || !cs.list[i].ejected
	}
	for i := range cs.n {
		c := &cs.list[i]
		if c.full || anyHealthy && c.ejected {
			continue
		}
		if s := c.score(g, q); best == nil || best.replacedBy(c, s < least) {
			best, least = c, s
		}
	}
	return best
}

// replacedBy reports whether another candidate, whose score may be lower, is better. One that is left to other
// instances is worse than others at which the call would not wait for long.
func (c *candidate) replacedBy(other *candidate, lower bool) bool {
	switch {
	case c.held == other.held:
		return lower
	case c.held:
		return other.wait() <= other.service
	default:
		return c.wait() > c.service
	}
}

// score returns the predicted time until the response in seconds, adjusted for
// the saving by a cached prefix, for consecutive failures and for the price: an
// endpoint that costs twice the mean price is charged one more service time.
func (c *candidate) score(g *group, q *Query) float64 {
	service := c.service.Seconds()
	t := 2*c.delay.Seconds() + c.wait().Seconds() + service*(1+batchSlowdown*c.load/c.slots)
	if n := len(q.Blocks); n > 0 && c.cachedBlocks > 0 {
		t -= g.prefixSaving * c.stat.FirstToken.Seconds() * float64(c.cachedBlocks) / float64(n)
	}
	if f := min(c.stat.Failures, maxPenalties); f > 0 && !c.stat.IsOld(q.Now) {
		t += service * failurePenalty * float64(f) * fade(q.Now.Sub(c.stat.LastEnd), failureHalfLife)
	}
	if g.meanPrice > 0 {
		t += service * (c.Cost/g.meanPrice - 1)
	}
	return t
}

// wait returns the predicted time until a slot is free.
func (c *candidate) wait() time.Duration {
	over := c.load + 1 - c.slots
	if over <= 0 {
		return 0
	}
	return time.Duration(over / c.slots * float64(c.service))
}

// meanLoad returns the load of all candidates together, in calls per slot.
func (cs *candidates) meanLoad() float64 {
	load, slots := 0.0, 0.0
	for i := range cs.n {
		load += cs.list[i].load
		slots += cs.list[i].slots
	}
	return load / slots
}
