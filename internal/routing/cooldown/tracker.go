// Package cooldown decides which calls endpoints get that asked for a pause.
//
// An endpoint that refuses a call may say for how long it wants nothing from this
// instance (Retry-After). The package answers a service whose endpoints are overloaded
// one after the other or all at once: within the pause of an endpoint, other endpoints
// get the calls; if all of them have asked for one, each gets a single call, late in
// its pause, which shows whether it works again; and after the pause the calls return
// one by one, as the calls that waited would otherwise arrive all at once. The package
// does no I/O and reads no clock.
package cooldown

// This file defines Tracker.

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause is the longest pause that an endpoint gets, whatever it asks for.
	MaxPause = 5 * time.Minute
	// lastResortShare is the share of a pause after which the endpoint may get a call
	// if no other endpoint can. Endpoints bear two calls in a pause; the second one is
	// left for a call that was on its way when the pause began.
	lastResortShare = 0.5
	rampTime        = time.Second            // after a pause, during which calls are spaced
	rampInterval    = 100 * time.Millisecond // between two calls during rampTime
	retention       = time.Minute            // after rampTime, for which a pause is kept
)

// Tracker keeps the pauses that endpoints asked for, by endpoint name. It is safe for
// concurrent use.
type Tracker struct {
	mu     sync.Mutex
	pauses map[string]*pause
	kept   atomic.Int64 // number of pauses, which spares the lock while there are none
}

// pause is the latest pause of one endpoint.
type pause struct {
	start    time.Time
	end      time.Time
	resorted bool      // the call of last resort was made
	lastCall time.Time // during the ramp; zero for none
}

// New returns a tracker without pauses.
func New() *Tracker { return &Tracker{pauses: make(map[string]*pause)} }

// Start records that an endpoint wants no calls for the given time, at most MaxPause. A
// pause that ends later stays in force.
func (t *Tracker) Start(name string, length time.Duration, now time.Time) {
	if length <= 0 {
		return
	}
	end := now.Add(min(length, MaxPause))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	p := t.pauses[name]
	switch {
	case p == nil || !now.Before(p.end):
		t.pauses[name] = &pause{start: now, end: end}
	case end.After(p.end):
		p.end = end
	}
	t.kept.Store(int64(len(t.pauses)))
}

// Resume makes the calls of an endpoint return one by one, as after a pause that ends now.
// A pause that ends later stays in force.
func (t *Tracker) Resume(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	if p := t.pauses[name]; p == nil || p.end.Before(now) {
		t.pauses[name] = &pause{start: now, end: now}
	}
	t.kept.Store(int64(len(t.pauses)))
}

// prune forgets the pauses that no longer matter.
func (t *Tracker) prune(now time.Time) {
	for name, p := range t.pauses {
		if now.Sub(p.end) > rampTime+retention {
			delete(t.pauses, name)
		}
	}
}

// Use says how much an endpoint is needed for a call.
type Use int

const (
	// Usual means that other endpoints can take the call, or may soon.
	Usual Use = iota + 1
	// LastResort means that no other endpoint can take the call.
	LastResort
)

// Allows reports whether an endpoint may get a call now.
func (t *Tracker) Allows(name string, u Use, now time.Time) bool {
	if t.kept.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[name]
	return p == nil || p.allows(u, now)
}

func (p *pause) allows(u Use, now time.Time) bool {
	switch {
	case now.Before(p.end):
		since := float64(now.Sub(p.start))
		return u == LastResort && !p.resorted && since >= lastResortShare*float64(p.end.Sub(p.start))
	case now.Before(p.end.Add(rampTime)):
		return now.Sub(p.lastCall) >= rampInterval
	default:
		return true
	}
}

// Take counts a call that is about to be sent to an endpoint. It returns false if the
// endpoint may not get it, as Allows does.
func (t *Tracker) Take(name string, u Use, now time.Time) bool {
	if t.kept.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[name]
	if p == nil {
		return true
	}
	if !p.allows(u, now) {
		return false
	}
	if now.Before(p.end) {
		p.resorted = true
	} else {
		p.lastCall = now
	}
	return true
}

// Left returns the time until an endpoint may get a usual call; zero if it may now.
func (t *Tracker) Left(name string, now time.Time) time.Duration {
	if t.kept.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[name]
	switch {
	case p == nil || p.allows(Usual, now):
		return 0
	case now.Before(p.end):
		return p.end.Sub(now)
	default:
		return p.lastCall.Add(rampInterval).Sub(now)
	}
}
