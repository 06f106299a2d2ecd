// Package ratelimit keeps the limits that endpoints name for the requests of all instances
// together.
//
// It answers an endpoint in need that gets requests from many instances: a limit that each
// instance kept for itself would be passed by their sum. Only the instance that chooses
// endpoints for others, which is the coordinator, takes requests from a limit; an instance that acts for
// itself has the part of the limit that its share of the fleet allows. A limit begins
// without a burst, also where it was learned from another instance, so that an
// instance that replaces another one does not spend a second allowance.
//
// Callers pass the time in; the package does no I/O.
package ratelimit

// This file defines Tracker, which keeps the newest claim of each endpoint.

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const (
	retention    = 10 * time.Minute // for which the claims of an endpoint are kept after its last answer
	maxEndpoints = 4096             // whose claims are kept; the ones that answered last
	maxNameBytes = 300              // of the name of an endpoint that another instance tells
)

// Tracker keeps the newest claim of each endpoint that named a limit, and counts the
// requests that are taken from it. It is safe for concurrent use.
type Tracker struct {
	kept atomic.Int64 // number of endpoints, which spares the lock while there are none

	mu        sync.Mutex
	endpoints map[string]*state
	share     float64 // part of each limit that this instance may take
}

// state is what is known of one endpoint.
type state struct {
	Claim
	changed   time.Time // when this instance learned the limit, or its end
	lastTrial time.Time
	bucket    bucket
	warmUp    float64 // requests a second while the endpoint is cold; zero if it is not
}

// New returns a tracker without limits, which may take the whole of each.
func New() *Tracker { return &Tracker{endpoints: make(map[string]*state), share: 1} }

// Record records a claim and reports whether it changes the limit of the endpoint, and
// what was known before. Claims without a limit are kept only for endpoints that had one.
func (t *Tracker) Record(c Claim, now time.Time) (before Claim, changed bool) {
	if !c.Limited && t.kept.Load() == 0 {
		return Claim{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(c, now)
}

// record is Record for callers that hold the lock.
func (t *Tracker) record(c Claim, now time.Time) (before Claim, changed bool) {
	s := t.endpoints[c.Endpoint]
	if s == nil {
		if !c.Limited {
			return Claim{}, false
		}
		t.prune(now)
		t.endpoints[c.Endpoint] = &state{Claim: c, changed: now, bucket: newBucket(now)}
		t.kept.Store(int64(len(t.endpoints)))
		return Claim{}, true
	}
	before = s.Claim
	if !c.supersedes(before) {
		return before, false
	}
	s.bucket.refill(t.rate(s), now)
	s.Claim = c
	if c.sameLimit(before) {
		return before, false
	}
	s.changed = now
	if !before.Limited {
		s.bucket = newBucket(now)
	}
	return before, true
}

// prune forgets the endpoints that have not answered for long, and the one that answered
// first if there are too many. The caller holds the lock.
func (t *Tracker) prune(now time.Time) {
	maps.DeleteFunc(t.endpoints, func(_ string, s *state) bool { return s.warmUp == 0 && now.Sub(s.At) > retention })
	if len(t.endpoints) < maxEndpoints {
		return
	}
	all := slices.DeleteFunc(slices.Collect(maps.Values(t.endpoints)), func(s *state) bool { return s.warmUp > 0 })
	if len(all) > 0 {
		oldest := slices.MinFunc(all, func(a, b *state) int { return a.At.Compare(b.At) })
		delete(t.endpoints, oldest.Endpoint)
	}
}

// Limited reports whether the endpoint with the given name has a limit.
func (t *Tracker) Limited(name string) bool {
	_, limited := t.Limit(name)
	return limited
}

// Limit returns the limit of an endpoint in requests a second, and false if it has none.
func (t *Tracker) Limit(name string) (float64, bool) {
	if t.kept.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limited(name); s != nil {
		return s.least(), true
	}
	return 0, false
}

// LimitedAmong returns the names of those endpoints that have a limit and have not been tried.
func (t *Tracker) LimitedAmong(list []*registry.Endpoint, tried []string) []string {
	var names []string
	for _, e := range list {
		if name := e.Name(); t.Limited(name) && !slices.Contains(tried, name) {
			names = append(names, name)
		}
	}
	return names
}

// limited returns the state of an endpoint with a limit; nil if it has none. The caller holds
// the lock.
func (t *Tracker) limited(name string) *state {
	if s := t.endpoints[name]; s != nil && (s.Limited || s.warmUp > 0) {
		return s
	}
	return nil
}

// Any reports whether any endpoint may have a limit.
func (t *Tracker) Any() bool { return t.kept.Load() > 0 }

// SetShare sets the part of each limit that this instance may take, from 0 to 1. An instance
// that gets a part after it had none begins without requests that it could have taken before: many
// instances may do so at the same time.
func (t *Tracker) SetShare(share float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share = max(0, min(1, share))
	if share == t.share {
		return
	}
	for _, s := range t.endpoints {
		if s.bucket.refill(t.rate(s), now); share == 0 {
			s.bucket = newBucket(now)
		}
	}
	t.share = share
}

// rate returns the requests a second that this instance may take from a limit. The caller
// holds the lock.
func (t *Tracker) rate(s *state) float64 { return max(trialRate, s.least()) * t.share }

// least returns the lower one of the limits of an endpoint that has any.
func (s *state) least() float64 {
	switch {
	case s.warmUp == 0:
		return s.Rate
	case s.Limited:
		return min(s.Rate, s.warmUp)
	default:
		return s.warmUp
	}
}

// Changed returns the claims that changed a limit within age, to tell them to other instances:
// the latest ones if there are more than most.
func (t *Tracker) Changed(age time.Duration, most int, now time.Time) []Claim {
	return t.list(most, func(s *state) bool { return now.Sub(s.changed) <= age })
}

// All returns all limits, to tell them to an instance that starts: the latest ones if there are
// more than most.
func (t *Tracker) All(most int) []Claim {
	return t.list(most, func(s *state) bool { return s.Limited })
}

func (t *Tracker) list(most int, wanted func(*state) bool) []Claim {
	if t.kept.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*state
	for _, s := range t.endpoints {
		if wanted(s) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *state) int { return b.changed.Compare(a.changed) })
	claims := make([]Claim, 0, min(most, len(list)))
	for _, s := range list[:min(most, len(list))] {
		claims = append(claims, s.Claim)
	}
	return claims
}

// Learn is Record for a claim that another instance tells. A claim that makes no sense changes
// nothing.
func (t *Tracker) Learn(c Claim, now time.Time) (before Claim, changed bool) {
	if c.Endpoint == "" || len(c.Endpoint) > maxNameBytes || math.IsNaN(c.Rate) || math.IsInf(c.Rate, 0) || c.Rate < 0 {
		return Claim{}, false
	}
	return t.Record(c, now)
}
