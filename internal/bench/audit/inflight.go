package audit

// This file counts concurrent requests.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// CheckCap returns the peak number of concurrent requests at endpoints, among the
// requests that selects selects and that were sent after since. It records a
// violation if the peak exceeds limit; limit 0 means no cap.
func (a *Audit) CheckCap(selects func(caller.Outcome) bool, since time.Time, limit int) int {
	counted := make(map[string]bool)
	for _, o := range a.Outcomes {
		if selects(o) && o.Start.After(since) && o.RequestID != "" {
			counted[o.RequestID] = true
		}
	}
	peak := peakInFlight(a.Entries, counted)
	if limit > 0 && peak > limit {
		a.Add(AccountCap, "got %d requests in flight, want at most %d", peak, limit)
	}
	return peak
}

type event struct {
	at    time.Time
	delta int // +1 where a request starts, -1 where it ends
}

// peakInFlight returns the peak number of counted requests in flight at the same
// time. A request is in flight from the start of its first execution to the end
// of its last. Of events at the same time, ends are counted first.
func peakInFlight(entries []ledger.Entry, counted map[string]bool) int {
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
	var events []event
	for _, s := range spans {
		events = append(events, event{s[0], 1}, event{s[1], -1})
	}
	slices.SortFunc(events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.delta - b.delta
	})
	peak, inFlight := 0, 0
	for _, e := range events {
		inFlight += e.delta
		peak = max(peak, inFlight)
	}
	return peak
}
