package audit

// This file counts requests that are in flight at once.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Use returns the most requests of an account that were at endpoints at once,
// of those that were sent after a moment, and checks it against a cap.
func (a *Audit) Use(isOf func(caller.Outcome) bool, since time.Time, limit int) int {
	counted := make(map[string]bool)
	for _, o := range a.Outcomes {
		if isOf(o) && o.Start.After(since) && o.Request != "" {
			counted[o.Request] = true
		}
	}
	most := overlap(a.Entries, counted)
	if limit > 0 && most > limit {
		a.Add(Cap, "got %d requests in flight, want at most %d", most, limit)
	}
	return most
}

type edge struct {
	at   time.Time
	step int // +1 where a request begins, -1 where it ends
}

// overlap returns how many of the counted requests were in flight at once, each
// from the arrival of its first execution to the end of its last.
func overlap(entries []ledger.Entry, counted map[string]bool) int {
	spans := make(map[string][2]time.Time)
	for _, e := range entries {
		if !counted[e.Request] || e.End.IsZero() {
			continue
		}
		s, ok := spans[e.Request]
		if !ok || e.Start.Before(s[0]) {
			s[0] = e.Start
		}
		if e.End.After(s[1]) {
			s[1] = e.End
		}
		spans[e.Request] = s
	}
	var edges []edge
	for _, s := range spans {
		edges = append(edges, edge{s[0], 1}, edge{s[1], -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.step - b.step
	})
	most, now := 0, 0
	for _, e := range edges {
		now += e.step
		most = max(most, now)
	}
	return most
}
