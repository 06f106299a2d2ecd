package quarantine

// This file handles requests that crashed endpoints, but are not held back yet.

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxSuspects = 64 // that instances tell each other; the ones with the most crashes
	// suspectMemory is how long the suspects that the coordinator told count, if it tells none.
	suspectMemory = 10 * time.Second
	// recentTime is how long a crash counts as recent. Endpoints that crashed are back by then,
	// and a sound request must not be refused for longer if its service has only one endpoint.
	recentTime = 10 * time.Second
)

// Suspect is a request under which endpoints crashed since an equal one was last answered
// completely.
type Suspect struct {
	Fingerprint uint64
	Endpoints   []string  // names of the processes that crashed
	Last        time.Time // when the last of these crashes was noticed
}

// Suspects returns the suspects by the losses that this instance knows, those with the most
// crashes first. The result must not be changed.
func (q *Quarantine) Suspects() []Suspect {
	if q.kept.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.own()
}

// own returns the suspects by the losses that this instance knows. It collects them again only
// after a change, as it is called for each request. The caller holds the lock.
func (q *Quarantine) own() []Suspect {
	if !q.collected {
		q.suspectList, q.collected = q.collectSuspects(), true
	}
	return q.suspectList
}

// collectSuspects returns the suspects with the most crashes. The caller holds the lock.
func (q *Quarantine) collectSuspects() []Suspect {
	byRequest := make(map[uint64]*Suspect)
	for _, l := range q.losses {
		if !q.countsForWhole(l) {
			continue
		}
		s := byRequest[l.Fingerprint]
		if s == nil {
			s = &Suspect{Fingerprint: l.Fingerprint}
			byRequest[l.Fingerprint] = s
		}
		if l.At.After(s.Last) {
			s.Last = l.At
		}
		if !slices.Contains(s.Endpoints, l.Engine) {
			s.Endpoints = append(s.Endpoints, l.Engine)
		}
	}
	var list []Suspect
	for _, s := range byRequest {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(maxSuspects, len(list))]
}

// LearnSuspects takes over the suspects that the coordinator tells, those within the limits of what is
// kept.
func (q *Quarantine) LearnSuspects(list []Suspect, now time.Time) {
	list = slices.DeleteFunc(list, func(s Suspect) bool { return len(s.Endpoints) > maxLosses || !validNames(s.Endpoints) })
	q.mu.Lock()
	defer q.mu.Unlock()
	q.told, q.toldAt = list[:min(maxSuspects, len(list))], now
	q.updateKept()
}

// AdoptSuspects keeps the crashes that the coordinator told as evidence of this instance. It is for
// when the coordinator changes: the former one may have been the only one that saw them.
func (q *Quarantine) AdoptSuspects(now time.Time) {
	q.mu.Lock()
	var told []Suspect
	if now.Sub(q.toldAt) <= suspectMemory {
		told = slices.Clone(q.told)
	}
	q.mu.Unlock()
	for _, s := range told {
		for _, name := range s.Endpoints {
			q.RecordLoss(Loss{Engine: name, Prompt: s.Fingerprint, Fingerprint: s.Fingerprint, Crashed: true, At: s.Last})
		}
	}
}

// IsSuspect reports whether an endpoint is known to have crashed under a request with the
// fingerprint since one was last answered completely, and whether that was not long ago.
func (q *Quarantine) IsSuspect(fingerprint uint64, now time.Time) (suspect, recent bool) {
	if q.kept.Load() == 0 || fingerprint == 0 {
		return false, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range q.known(now) {
		for _, s := range list {
			if s.Fingerprint == fingerprint {
				suspect, recent = true, recent || now.Sub(s.Last) < recentTime
			}
		}
	}
	return suspect, recent
}

// HasCrashed reports whether the process of an endpoint is known to have crashed.
func (q *Quarantine) HasCrashed(name string, now time.Time) bool {
	if q.kept.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range q.known(now) {
		if slices.ContainsFunc(list, func(s Suspect) bool { return slices.Contains(s.Endpoints, name) }) {
			return true
		}
	}
	return false
}

// known returns the own suspects and those that the coordinator told. The caller holds the
// lock.
func (q *Quarantine) known(now time.Time) [2][]Suspect {
	if now.Sub(q.toldAt) > suspectMemory {
		return [...][]Suspect{q.own(), nil}
	}
	return [...][]Suspect{q.own(), q.told}
}

// countsForWhole reports whether a loss is evidence against the request as a whole. The
// caller holds the lock.
func (q *Quarantine) countsForWhole(l Loss) bool {
	if !l.Crashed || l.Fingerprint == 0 {
		return false
	}
	at, ok := q.begun.Peek(xxhash.Sum64String(wholeOf(l.Fingerprint)))
	return !ok || !at.After(l.At)
}
