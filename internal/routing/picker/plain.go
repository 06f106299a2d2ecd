package picker

// This file defines the plain rules, which serve as baselines.

// plain takes the best by own calls in flight of up to n usable members, drawn
// at random or, where inTurn, the next one in turn.
func (p *Picker) plain(g *group, q Query, n int, inTurn bool) Choice {
	start := 0
	if inTurn {
		start = int(g.turn.Add(1) % uint64(len(g.members)))
	} else {
		start = p.draw(len(g.members))
	}
	var best *member
	least, seen := 0, 0
	for i := 0; i < len(g.members) && seen < n; i++ {
		m := &g.members[(start+i)%len(g.members)]
		if !p.usable(m, &q) {
			continue
		}
		seen++
		if flying := m.row.Get().InFlight; best == nil || flying < least {
			best, least = m, flying
		}
		if n == 2 && seen == 1 { // the second of two choices is drawn anew
			start = p.draw(len(g.members))
		}
	}
	reason := Reason{Ground: ByRule, Seen: seen, Of: len(g.members)}
	if best == nil {
		reason.Ground = Unusable
		return Choice{Reason: reason}
	}
	return Choice{Endpoint: best.Endpoint, Reason: reason}
}
