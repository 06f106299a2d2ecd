// Package quarantine holds back requests that crash endpoints: those whose prompt has a part
// that crashes engines, and those that crash each endpoint as a whole.
//
// An endpoint that crashes ends all requests that it runs, so each of them is only suspected of
// the cause. A request has features: the parts of its prompt, and itself as a whole, which is
// the same for equal requests. A feature is held back if it is common to the requests that
// several endpoints lost, and nothing cleared it: a part is cleared by an answer that begins,
// shortly before or since, and a request by a complete answer to an equal one since. The last
// part of a prompt is the request's own and never the cause.
//
// It answers requests that come at all instances, a few a second, between sound ones: no two
// alike, with a part that crashes engines, or all alike, of any kind, also while their pieces are
// executed. Each instance records the losses that it sees and tells them to the coordinator,
// which judges; the verdicts reach all instances, so that they outlast the coordinator. A verdict
// ends when a request is answered in spite of it: a few trial sends, far apart, find a feature
// that has become sound, and a verdict that was wrong. Callers pass the time in; the package does
// no I/O.
package quarantine

// This file defines Quarantine, and what decides whether a request is sent.

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxParts = 4096 // features whose last answer is remembered
	// retention is how long losses are remembered, and groups whose parts no request has.
	retention = 10 * time.Minute
	// wholeRetention is retention for requests that are held back as a whole.
	wholeRetention = time.Hour
)

// trialDelays are the times from the verdict, or from the trial before, to the next trial.
// The last one repeats.
var trialDelays = [...]time.Duration{5 * time.Second, 30 * time.Second, 5 * time.Minute, time.Hour}

// wholeTrialDelays are trialDelays for requests that are held back as a whole. There are no
// further trials: endpoints bear three sends in all.
var wholeTrialDelays = [...]time.Duration{5 * time.Second, 5 * time.Minute}

// Decision says what happens to a request.
type Decision int

// The decisions.
const (
	Admitted Decision = iota
	Trial             // admitted to find out whether a part that is held back has become sound; must not be repeated
	Held              // rejected
)

var decisionNames = [...]string{Admitted: "admitted", Trial: "trial", Held: "held"}

// String returns the name used in logs.
func (d Decision) String() string {
	if d < Admitted || int(d) >= len(decisionNames) {
		return fmt.Sprintf("decision(%d)", int(d))
	}
	return decisionNames[d]
}

// Quarantine records losses and begun answers, and holds the verdicts. It is safe for
// concurrent use.
type Quarantine struct {
	kept atomic.Int64 // number of losses, groups and told suspects, which spares the lock while there are none

	mu     sync.Mutex
	begun  *simplelru.LRU[uint64, time.Time] // when a feature was last cleared, by its hash: an answer began, for a whole request ended
	losses []Loss                            // oldest first
	groups map[string]*group                 // by key; held and released ones
	told   []Suspect                         // by the coordinator
	toldAt time.Time

	clearances []clearance // oldest first

	suspectList []Suspect // by losses
	collected   bool      // whether suspectList is up to date
}

// New returns a quarantine without losses and verdicts.
func New() *Quarantine {
	begun, err := simplelru.NewLRU[uint64, time.Time](maxParts, nil)
	if err != nil {
		panic("quarantine: creating an LRU cache: " + err.Error())
	}
	return &Quarantine{begun: begun, groups: make(map[string]*group)}
}

// RecordBegun records that the answer to a request has begun, and returns the groups that
// this changes. It releases those whose parts the request has. If it has only some of them,
// the other parts are the cause, and are held back alone.
func (q *Quarantine) RecordBegun(s Subject, now time.Time) []Group {
	parts := sharedParts(s.Prompt)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.markSound(parts, now)
	var changed []Group
	for _, g := range slices.Collect(maps.Values(q.groups)) {
		if !g.Held() {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(g.Parts), func(p string) bool { return slices.Contains(parts, p) })
		if len(left) == len(g.Parts) {
			continue
		}
		trials := g.Trials
		g.Term++
		g.Trials, g.changed = nil, now
		changed = append(changed, g.clone())
		if len(left) > 0 {
			q.hold(left, now)
			rest := q.groups[keyOf(left)]
			rest.addTrials(trials, now)
			changed = append(changed, rest.clone())
		}
	}
	return changed
}

// Empty reports whether nothing is known of any crash.
func (q *Quarantine) Empty() bool { return q.kept.Load() == 0 }

// Holds reports whether a request is held back, and whether that is as a whole, and not for a
// part of its prompt.
func (q *Quarantine) Holds(s Subject) (held, whole bool) {
	if q.kept.Load() == 0 {
		return false, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.holding(s)
	return len(list) > 0, slices.ContainsFunc(list, func(g *group) bool { return g.isWhole() })
}

// holding returns the held groups that the request has. The caller holds the lock.
func (q *Quarantine) holding(s Subject) []*group {
	if len(q.groups) == 0 {
		return nil
	}
	features := s.features()
	var list []*group
	for _, g := range q.groups {
		if g.Held() && g.within(features) {
			list = append(list, g)
		}
	}
	return list
}

// Admit decides whether a request is sent, under an id that its trial would be known by.
// Only the coordinator calls it, and mayTry says whether it has contact with the other
// instances, so that no two instances make the same trial.
func (q *Quarantine) Admit(s Subject, id string, mayTry bool, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.holding(s)
	if len(list) == 0 {
		return Admitted
	}
	due := mayTry
	for _, g := range list {
		g.lastRequested = now
		due = due && g.trialDue(now)
	}
	if !due {
		return Held
	}
	for _, g := range list {
		g.Trials = append(g.Trials, id)
		g.changed = now
		if len(g.Trials) > maxTrials {
			g.Term++
			g.Trials = nil
		}
	}
	return Trial
}

// updateKept counts what is kept after a change. The caller holds the lock.
func (q *Quarantine) updateKept() {
	q.collected = false
	q.kept.Store(int64(len(q.losses) + len(q.groups) + len(q.told)))
}
