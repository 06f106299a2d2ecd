package quarantine

// This file defines Clearance: what takes back evidence, on all instances.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxClearances = 256             // that are remembered, the latest ones
	tellTime      = 3 * time.Second // for which other instances are told a clearance; covers several polls
)

// Clearance takes back evidence. Either an endpoint answered a request that was sent when it was
// said to have crashed, which an instance that is cut off from it can't tell from a crash: then
// no earlier crash of it counts. Or a request was answered completely under equal ones of which
// endpoints had crashed: then no earlier crash under these counts.
type Clearance struct {
	Endpoint    string    // name of the endpoint's process; empty for a request
	Fingerprint uint64    // of the request; zero for an endpoint
	At          time.Time // of the answer
}

// clearance is a Clearance with the time at which this instance recorded it.
type clearance struct {
	Clearance
	recorded time.Time
	learned  bool // another instance told it
}

// Clear records a clearance. It reports whether that takes back evidence, and returns the groups
// that it releases.
func (q *Quarantine) Clear(c Clearance, now time.Time) (changed bool, released []Group) {
	return q.record(clearance{Clearance: c, recorded: now})
}

// Learn is Clear for a clearance that another instance tells.
func (q *Quarantine) Learn(c Clearance, now time.Time) (changed bool, released []Group) {
	return q.record(clearance{Clearance: c, recorded: now, learned: true})
}

func (q *Quarantine) record(c clearance) (changed bool, released []Group) {
	if len(c.Endpoint) > maxNameBytes {
		return false, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case c.Endpoint != "":
		changed = q.clearEndpoint(c.Clearance)
	case c.Fingerprint != 0:
		changed, released = q.clearRequest(c.Clearance, c.recorded)
	}
	if changed {
		c.Endpoint = strings.Clone(c.Endpoint)
		q.clearances = append(q.clearances, c)
		q.clearances = q.clearances[max(0, len(q.clearances)-maxClearances):]
	}
	q.prune(c.recorded)
	return changed, released
}

// clearEndpoint takes back the crashes of an endpoint. The losses stay. The caller holds the lock.
func (q *Quarantine) clearEndpoint(c Clearance) (changed bool) {
	endpoint := c.Endpoint
	for i := range q.losses {
		if l := &q.losses[i]; l.Engine == endpoint && l.Crashed && !l.At.After(c.At) {
			l.Crashed, changed = false, true
		}
	}
	for i, s := range q.told {
		if slices.Contains(s.Endpoints, endpoint) && !s.Last.After(c.At) {
			changed = true
			q.told[i].Endpoints = slices.DeleteFunc(slices.Clone(s.Endpoints), func(e string) bool { return e == endpoint })
		}
	}
	q.told = slices.DeleteFunc(q.told, func(s Suspect) bool { return len(s.Endpoints) == 0 })
	return changed
}

// clearRequest takes back the crashes under requests with the fingerprint. The caller holds the
// lock.
func (q *Quarantine) clearRequest(c Clearance, now time.Time) (changed bool, released []Group) {
	whole := wholeOf(c.Fingerprint)
	key := xxhash.Sum64String(whole)
	if at, ok := q.begun.Peek(key); !ok || c.At.After(at) {
		changed = slices.ContainsFunc(q.losses, func(l Loss) bool {
			return l.Fingerprint == c.Fingerprint && l.At.Before(c.At) && q.countsForWhole(l)
		})
		q.begun.Add(key, c.At)
	}
	told := len(q.told)
	q.told = slices.DeleteFunc(q.told, func(s Suspect) bool { return s.Fingerprint == c.Fingerprint && s.Last.Before(c.At) })
	for _, g := range slices.Collect(maps.Values(q.groups)) {
		if g.Held() && slices.Contains(g.Parts, whole) && g.changed.Before(c.At) {
			g.Term++
			g.Trials, g.changed = nil, now
			released = append(released, g.clone())
		}
	}
	return changed || told > len(q.told) || len(released) > 0, released
}

// Clearances returns the latest clearances, to tell them to other instances. They are told while
// they are new to this instance.
func (q *Quarantine) Clearances(now time.Time) []Clearance {
	return q.recent(now, func(clearance) bool { return true })
}

// OwnClearances returns those of Clearances that no other instance told.
func (q *Quarantine) OwnClearances(now time.Time) []Clearance {
	return q.recent(now, func(c clearance) bool { return !c.learned })
}

func (q *Quarantine) recent(now time.Time, wanted func(clearance) bool) []Clearance {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Clearance
	for _, c := range q.clearances {
		if now.Sub(c.recorded) <= tellTime && wanted(c) {
			list = append(list, c.Clearance)
		}
	}
	return list
}

// hasAnswered reports whether an endpoint answered although it was said to have crashed by the
// given time. The caller holds the lock.
func (q *Quarantine) hasAnswered(endpoint string, at time.Time) bool {
	return slices.ContainsFunc(q.clearances, func(c clearance) bool { return c.Endpoint == endpoint && !c.At.Before(at) })
}
