package picker

// This file implements the plain strategies, that is all but Predicted. They
// serve as baselines for it.

// plain chooses the member to which this instance has the fewest calls in flight,
// among n usable members or among all usable ones if there are fewer. It starts at a random member or, if
// roundRobin is set, at the next one in turn.
func (p *Picker) plain(g *group, q Query, n int, roundRobin bool) Choice {
	start := 0
	if roundRobin {
		start = int(g.nextStart.Add(1) % uint64(len(g.members)))
	} else {
		start = p.draw(len(g.members))
	}
	var best *member
	least, compared := 0, 0
	for i := 0; i < len(g.members) && compared < n; i++ {
		m := &g.members[(start+i)%len(g.members)]
		if !p.usable(m, &q) {
			continue
		}
		compared++
		if inFlight := m.stats.Get().InFlight; best == nil || inFlight < least {
			best, least = m, inFlight
		}
		if n == 2 && compared == 1 { // TwoChoices draws the second member independently of the first
			start = p.draw(len(g.members))
		}
	}
	reason := Reason{Code: ByStrategy, Compared: compared, GroupSize: len(g.members)}
	if best == nil {
		reason.Code = NoneUsable
		return Choice{Reason: reason}
	}
	return Choice{Endpoint: best.Endpoint, Reason: reason}
}
