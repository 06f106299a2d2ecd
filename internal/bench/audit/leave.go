package audit

// This file checks that leaving endpoints get no new work.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Leave checks that none of the endpoints got new work after the given time,
// and returns when the last of them got any before it.
func (a *Audit) Leave(leaving func(endpoint string) bool, after time.Time) (last time.Time) {
	for _, e := range a.Entries {
		if !leaving(e.Endpoint) {
			continue
		}
		if e.Arrival.After(last) {
			last = e.Arrival
		}
		if e.Arrival.After(after) {
			a.Add(Leaving, "%s got %s of %s %v after the bound", e.Endpoint, e.Stage, e.Request, e.Arrival.Sub(after))
		}
	}
	return last
}

// LeaveOnce checks that none of the endpoints got work that was decided after
// the change was in force everywhere: requests sent after that, and calls that
// follow another call of their request that ended after that.
func (a *Audit) LeaveOnce(leaving func(endpoint string) bool, inForce time.Time) {
	sent := make(map[string]time.Time)
	for _, o := range a.Outcomes {
		sent[o.Request] = o.Start
	}
	for _, e := range a.Entries {
		if !leaving(e.Endpoint) {
			continue
		}
		if sent[e.Request].After(inForce) || a.follows(e, inForce) {
			a.Add(Leaving, "%s got %s of %s, decided after the change was in force", e.Endpoint, e.Stage, e.Request)
		}
	}
}

// follows reports whether another call of the request ended between a moment and the arrival of e.
func (a *Audit) follows(e ledger.Entry, since time.Time) bool {
	for _, o := range a.Entries {
		if o.Request == e.Request && o.End.After(since) && o.End.Before(e.Arrival) {
			return true
		}
	}
	return false
}
