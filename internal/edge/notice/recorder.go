// Package notice records what endpoints say of themselves in their responses: that they
// leave, that they want a pause, or that they limit the requests of all instances. A
// process that leaves gets no new work from this instance from then on, and the other
// instances are told, since an endpoint that leaves may not reach the store. A limit binds
// all instances together, so they are told of it too. A pause binds this instance only.
// The package does no I/O apart from logging.
package notice

// This file defines Recorder.

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/routing/warmup"
)

const (
	tellTime     = 3 * time.Second // for which other instances are told what is new; covers several polls
	memory       = 2 * time.Minute // for which starting instances are told; a process that leaves has ended by then
	maxTold      = 256             // names that one message holds
	maxNameBytes = 300             // of a name that another instance tells

	maxToldLimits = 4096 // that a starting instance is told
)

// Recorder records notices. It is safe for concurrent use.
type Recorder struct {
	registry *registry.Registry
	cooldown *cooldown.Tracker
	limits   *ratelimit.Tracker
	brittle  *brittle.Tracker
	warmUps  *warmup.Tracker
	paces    *pace.Tracker
	starts   *slowstart.Tracker
	paceAll  bool // of all services, not only of those with a warm-up
	log      logr.Logger
	leaving  tally.Counter
	pauses   tally.Counter
	limited  tally.Counter
	cold     tally.Gauge
	paced    tally.Gauge
	starting tally.Gauge

	mu     sync.Mutex
	recent []told // oldest first
}

// told is a process that leaves, of which other instances are told.
type told struct {
	name string
	at   time.Time
}

// New returns a recorder that marks leaving processes in r, starts pauses in c and records
// limits in l, cold endpoints in w, endpoints that have to show
// their pace in p, or start slowly in s, and brittle endpoints in b. Those of services with a warm-up have to, and with paceAll those
// of all services.
func New(r *registry.Registry, c *cooldown.Tracker, l *ratelimit.Tracker, w *warmup.Tracker, p *pace.Tracker, s *slowstart.Tracker, paceAll bool, b *brittle.Tracker, log logr.Logger, scope tally.Scope) *Recorder {
	return &Recorder{
		registry: r, cooldown: c, limits: l, warmUps: w, paces: p, starts: s, paceAll: paceAll, brittle: b, log: log,
		leaving: scope.Counter("endpoints_leaving"), pauses: scope.Counter("endpoint_pauses"), limited: scope.Counter("endpoint_limits"), cold: scope.Gauge("endpoints_cold"), paced: scope.Gauge("endpoints_paced"), starting: scope.Gauge("endpoints_slow_start"),
	}
}

// numCoordinators is how many instances are taken to send stage calls: while one follows another,
// two may.
const numCoordinators = 2

// Record records the notice in a response of an endpoint to a request that was sent at the
// given time.
func (r *Recorder) Record(e *registry.Endpoint, n Notice, sent time.Time) { r.record(e, n, sent, 0) }

// RecordCall is Record for a stage call, which only coordinators send.
func (r *Recorder) RecordCall(e *registry.Endpoint, n Notice, sent time.Time) {
	r.record(e, n, sent, numCoordinators)
}

// record records a notice. Zero senders means all instances.
func (r *Recorder) record(e *registry.Endpoint, n Notice, sent time.Time, senders int) {
	now := time.Now()
	r.recordBrittle(e, n, senders, now)
	r.recordLimit(e, n, sent, now)
	r.applyWarmUps(r.warmUps.Report(e.Name(), n.WarmUp, now))
	if n.Leaving {
		r.markLeaving(e.Name(), "the endpoint said so", now)
	}
	if n.Pause > 0 {
		r.cooldown.Start(e.Name(), n.Pause, now)
		r.pauses.Inc(1)
		r.log.Info("endpoint asked for a pause", "endpoint", e.ID, "service", e.Service, "pause", n.Pause.String(), "limit", cooldown.MaxPause.String())
	}
}

// recordBrittle records whether the endpoint is brittle, and whether it rejected a request for want
// of room.
func (r *Recorder) recordBrittle(e *registry.Endpoint, n Notice, senders int, now time.Time) {
	switch {
	case n.Brittle > 0:
		if r.brittle.Record(e.Service, n.Brittle, e.Slots, now) {
			r.log.Info("endpoints are brittle", "service", e.Service, "rejections", n.Brittle, "endpoint", e.ID)
		}
	case n.Limit != Untold && r.brittle.Forget(e.Service):
		r.log.Info("endpoints are no longer brittle", "service", e.Service)
	}
	if !n.Full {
		return
	}
	if pause := r.brittle.Reject(e.Service, e.Name(), senders, now); pause > 0 {
		r.log.Info("brittle endpoint rejected a request", "endpoint", e.ID, "service", e.Service, "pause", pause.String())
	}
}

func (r *Recorder) recordLimit(e *registry.Endpoint, n Notice, sent, now time.Time) {
	claim := ratelimit.Claim{Endpoint: e.Name(), At: sent}
	switch n.Limit {
	case NoLimit:
	case Named:
		claim.Limited, claim.Rate, claim.At = true, n.Rate, now
	case Untold:
		return
	default:
		panic("notice: got limit " + n.Limit.String())
	}
	if before, changed := r.limits.Record(claim, now); changed {
		r.applyLimit(claim, before, "the endpoint said so", now)
	}
}

// LearnLimits records what endpoints said of their limits, which another instance has told.
func (r *Recorder) LearnLimits(claims []ratelimit.Claim) {
	now := time.Now()
	for _, c := range claims {
		if before, changed := r.limits.Learn(c, now); changed {
			r.applyLimit(c, before, "another instance said so", now)
		}
	}
}

// applyLimit handles a change of a limit. Without it, calls would return to the endpoint all at
// once, as it has few.
func (r *Recorder) applyLimit(c, before ratelimit.Claim, reason string, now time.Time) {
	if !c.Limited {
		r.cooldown.Resume(c.Endpoint, now)
	}
	r.limited.Inc(1)
	r.log.Info("endpoint changed its limit", "endpoint", c.Endpoint, "limited", c.Limited, "rate", c.Rate,
		"limitedBefore", before.Limited, "rateBefore", before.Rate, "reason", reason)
}

// RecentLimits returns what changed within tellTime in the limits of endpoints.
func (r *Recorder) RecentLimits() []ratelimit.Claim {
	return r.limits.Changed(tellTime, maxTold, time.Now())
}

// KnownLimits returns all limits of endpoints. It is for an instance that has just started.
func (r *Recorder) KnownLimits() []ratelimit.Claim { return r.limits.All(maxToldLimits) }

// Learn records the names of processes that leave, which another instance has told.
func (r *Recorder) Learn(names []string) {
	now := time.Now()
	for _, name := range names[:min(maxTold, len(names))] {
		if name != "" && len(name) <= maxNameBytes {
			r.markLeaving(name, "another instance said so", now)
		}
	}
}

func (r *Recorder) markLeaving(name, reason string, now time.Time) {
	if !r.registry.MarkLeaving(name, now) {
		return
	}
	r.leaving.Inc(1)
	r.log.Info("endpoint leaves", "endpoint", name, "reason", reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = append(r.recent, told{name, now})
}

// Recent returns the processes of which this instance learned within tellTime that they
// leave, the latest ones if there are too many for a message.
func (r *Recorder) Recent() []string { return r.since(tellTime) }

// Known is like Recent, but also returns those of which it learned earlier. It is for an
// instance that has just started, to which nothing was told yet.
func (r *Recorder) Known() []string { return r.since(memory) }

func (r *Recorder) since(age time.Duration) []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = slices.DeleteFunc(r.recent, func(t told) bool { return now.Sub(t.at) > memory })
	var names []string
	for _, t := range r.recent[max(0, len(r.recent)-maxTold):] {
		if now.Sub(t.at) <= age {
			names = append(names, t.name)
		}
	}
	return names
}
