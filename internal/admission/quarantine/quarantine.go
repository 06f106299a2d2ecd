// Package quarantine holds back requests whose prompt has a part that crashes engines.
//
// An engine that crashes ends all requests that it runs, so each of those whose answer had
// not begun is only suspected of the cause. A part of a prompt is held back if it is common
// to the requests that several engines lost, and no answer to a request with it has begun
// since shortly before. The last part of a prompt is the request's own and never the cause.
//
// It answers requests with such a part that come at all instances, a few a second, no two
// alike, between sound ones that share their other parts. Each instance records the losses
// that it sees and tells them to the coordinator, which judges; the verdicts reach all
// instances, so that they outlast the coordinator. A verdict ends when an answer begins in
// spite of it: a few trial sends, far apart, find a part that has become sound, and a
// verdict that was wrong. Callers pass the time in; the package does no I/O.
package quarantine

// This file defines Quarantine, and what decides whether a request is sent.

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

const (
	maxParts = 4096 // parts whose last begun answer is remembered
	// retention is how long losses are remembered, and groups whose parts no request has.
	retention = 10 * time.Minute
)

// trialDelays are the times from the verdict, or from the trial before, to the next trial.
// The last one repeats.
var trialDelays = [...]time.Duration{5 * time.Second, 30 * time.Second, 5 * time.Minute, time.Hour}

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
	mu     sync.Mutex
	begun  *simplelru.LRU[uint64, time.Time] // when an answer to a request with the part last began, by hash of the part
	losses []Loss                            // oldest first
	groups map[string]*group                 // by key; held and released ones
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
func (q *Quarantine) RecordBegun(prompt []request.PromptPart, now time.Time) []Group {
	parts := sharedParts(prompt)
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

// Holds reports whether a request with the prompt is held back.
func (q *Quarantine) Holds(prompt []request.PromptPart) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.holding(prompt)) > 0
}

// holding returns the held groups that the prompt has. The caller holds the lock.
func (q *Quarantine) holding(prompt []request.PromptPart) []*group {
	if len(q.groups) == 0 {
		return nil
	}
	parts := sharedParts(prompt)
	var list []*group
	for _, g := range q.groups {
		if g.Held() && g.within(parts) {
			list = append(list, g)
		}
	}
	return list
}

// Admit decides whether a request is sent, under an id that its trial would be known by.
// Only the coordinator calls it, and mayTry says whether it has contact with the other
// instances, so that no two instances make the same trial.
func (q *Quarantine) Admit(prompt []request.PromptPart, id string, mayTry bool, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.holding(prompt)
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

// sharedParts returns the ids of the parts of a prompt without the last one.
func sharedParts(prompt []request.PromptPart) []string {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]string, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		if !slices.Contains(parts, p.ID) {
			parts = append(parts, p.ID)
		}
	}
	return parts
}
