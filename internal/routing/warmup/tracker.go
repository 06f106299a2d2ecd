// Package warmup tracks the endpoints that are cold, and limits the requests that all instances
// together send to them.
//
// It answers endpoints that fall over if they get many requests shortly after a start, or after
// a data centre has come back: in the same moment they are the least loaded ones of their service.
// An endpoint is cold until the last of the times that its start, its registrations and its
// responses tell. These may be seconds old or contradict each other; to take an endpoint for cold
// too long costs a part of its capacity, to take it for warm too soon all of it.
//
// Callers pass the time in; the package does no I/O.
package warmup

// This file defines Tracker.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
)

// maxLeft is how long an endpoint is taken to be cold at most after it said so.
const maxLeft = 10 * time.Minute

// Allowance is how far above its rate a cold endpoint may be in a second: by the factor Overrun,
// and by Slack requests more.
type Allowance struct{ Overrun, Slack float64 }

// Tracker keeps how long each registered endpoint is cold. It is safe for concurrent use.
type Tracker struct {
	limits    *ratelimit.Tracker
	allowance Allowance

	mu        sync.Mutex
	warmUps   map[string]catalog.WarmUp // by service
	processes map[string]*process       // by Endpoint.Name
}

// process is one process of an endpoint.
type process struct {
	service string
	started time.Time // not after the process was first seen
	told    statement // the last one
	until   time.Time // last end that it told
	source  Source    // of until
	cold    bool
}

// statement is what one registration says.
type statement struct {
	sequence uint64
	left     time.Duration
}

// New returns a tracker that limits cold endpoints in l.
func New(l *ratelimit.Tracker, a Allowance) *Tracker {
	return &Tracker{limits: l, allowance: a, warmUps: make(map[string]catalog.WarmUp), processes: make(map[string]*process)}
}

// SetServices sets the services whose endpoints need a warm-up, and returns what that changes.
func (t *Tracker) SetServices(services map[string]*catalog.Service, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.warmUps)
	for name, s := range services {
		if s.WarmUp != nil {
			t.warmUps[name] = *s.WarmUp
		}
	}
	return t.updateAll(now)
}

// Observe records the endpoints that are registered now, and returns what that changes. The same
// registration counts once, however often it is listed.
func (t *Tracker) Observe(all []*registry.Endpoint, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(all))
	for _, e := range all {
		name := e.Name()
		present[name] = true
		p := t.processes[name]
		if p == nil {
			p = &process{service: e.Service, started: startOf(e, now)}
			t.processes[name] = p
		}
		if s := (statement{e.Sequence, e.WarmUp}); s != p.told {
			p.told = s
			p.extend(e.WarmUp, Registration, now)
		}
	}
	for name := range t.processes {
		if !present[name] {
			t.limits.EndWarmUp(name, now)
			delete(t.processes, name)
		}
	}
	return t.updateAll(now)
}

// startOf returns when the process of an endpoint started; long ago if that is not known. A start
// time in the future comes from another clock.
func startOf(e *registry.Endpoint, now time.Time) time.Time {
	if at := time.UnixMilli(e.StartTime); at.Before(now) {
		return at
	}
	return now
}

// extend records that the process stays cold for the given time. An earlier statement that tells a
// later end holds.
func (p *process) extend(left time.Duration, source Source, now time.Time) {
	if until := now.Add(min(left, maxLeft)); left > 0 && until.After(p.until) {
		p.until, p.source = until, source
	}
}

// Report records that a response says how long its endpoint stays cold, and returns what that changes.
// It ignores endpoints that are not registered.
func (t *Tracker) Report(name string, left time.Duration, now time.Time) []Change {
	if left <= 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.processes[name]
	if p == nil {
		return nil
	}
	p.extend(left, Answer, now)
	return t.update(nil, name, p, now)
}

// End returns the endpoints that are no longer cold, whose limits it ends.
func (t *Tracker) End(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for name, p := range t.processes {
		if p.cold {
			changes = t.update(changes, name, p, now)
		}
	}
	return changes
}

// updateAll updates all processes. The caller holds the lock.
func (t *Tracker) updateAll(now time.Time) []Change {
	var changes []Change
	for name, p := range t.processes {
		changes = t.update(changes, name, p, now)
	}
	return changes
}

// update sets the limit of a process, and adds to changes if it became cold or warm. The caller
// holds the lock.
func (t *Tracker) update(changes []Change, name string, p *process, now time.Time) []Change {
	w := t.warmUps[p.service] // its rate is zero if the service needs no warm-up
	until, source := p.until, p.source
	if end := p.started.Add(w.Time); end.After(until) {
		until, source = end, Start
	}
	cold := w.PerSecond > 0 && now.Before(until)
	c := Change{Endpoint: name, Service: p.service, Cold: cold, Source: source}
	switch {
	case cold:
		c.Left, c.Rate = until.Sub(now), ratelimit.WarmUpRate(w.PerSecond, t.allowance.Overrun, t.allowance.Slack)
		t.limits.StartWarmUp(name, c.Rate, now)
	case p.cold:
		t.limits.EndWarmUp(name, now)
	}
	if cold == p.cold {
		return changes
	}
	p.cold = cold
	return append(changes, c)
}

// Cold returns the number of endpoints that are cold.
func (t *Tracker) Cold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.processes {
		if p.cold {
			n++
		}
	}
	return n
}
