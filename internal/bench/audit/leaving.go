package audit

// This file checks that leaving endpoints get no new work.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// CheckLeaving checks that no call arrived after the given time at an endpoint for
// which leaving returns true. It returns the latest arrival at these endpoints,
// or the zero time if there was none.
func (a *Audit) CheckLeaving(leaving func(endpoint string) bool, after time.Time) (last time.Time) {
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

// CheckLeavingDecisions checks that no call was sent to an endpoint for which leaving returns
// true by a decision made after inForce, the time when the change was in force on
// every instance. A call was decided after that time if its request was sent
// later, or if an earlier call of its request ended later.
func (a *Audit) CheckLeavingDecisions(leaving func(endpoint string) bool, inForce time.Time) {
	sentAt := make(map[string]time.Time)
	for _, o := range a.Outcomes {
		sentAt[o.RequestID] = o.Start
	}
	for _, e := range a.Entries {
		if !leaving(e.Endpoint) {
			continue
		}
		if sentAt[e.Request].After(inForce) || a.decidedAfter(e, inForce) {
			a.Add(Leaving, "%s got %s of %s, decided after the change was in force", e.Endpoint, e.Stage, e.Request)
		}
	}
}

// decidedAfter reports whether another call of e's request ended after the given
// time and before the arrival of e.
func (a *Audit) decidedAfter(e ledger.Entry, since time.Time) bool {
	for _, o := range a.Entries {
		if o.Request == e.Request && o.End.After(since) && o.End.Before(e.Arrival) {
			return true
		}
	}
	return false
}
