package batcher

// This file defines worker, the state of one endpoint that executes pieces.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/stage/freespace"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	slowdownWeight   = 0.5                    // weight of the latest call in the moving average of the slowdown
	slowdownHalfLife = 3 * time.Second        // without calls, half of a slowdown is forgotten in this time
	fadedLifetime    = 10 * time.Millisecond  // time for which a slowdown is not computed again
	refusedBackoff   = 60 * time.Millisecond  // after a refused call: the endpoint is only full
	failureBackoff   = 300 * time.Millisecond // after a failed call, doubled with each further failure in a row
	maxBackoff       = 3 * time.Second
	noSpaceBackoff   = 100 * time.Millisecond // after the endpoint had no space for a result
)

// worker is the state of one endpoint. Its fields are guarded by the Batcher's lock.
type worker struct {
	calls         int // in flight, without the overdue ones
	overdue       int // overdue calls in flight
	space         freespace.Estimator
	lastSlowdown  float64 // moving average of the ratio of actual to expected duration of calls, as of slowdownAt; 1 or more
	slowdownAt    time.Time
	faded         float64 // slowdown as of fadedAt; zero if it has to be computed again
	fadedAt       time.Time
	failures      int       // failed calls in a row
	backoffUntil  time.Time // the endpoint gets no calls before this time
	toFree        []string  // handles to be freed by the next call
	toFreeBytes   int64     // size of the results in toFree
	freeScheduled bool      // flushFrees is scheduled
}

// dropGoneWorkers drops the state of endpoints that are no longer registered and
// have no call in flight.
func (b *Batcher) dropGoneWorkers() {
	index := b.endpoints()
	for name, w := range b.workers {
		if w.calls == 0 && w.overdue == 0 && index.ByName(name) == nil {
			delete(b.workers, name)
		}
	}
}

// worker returns the state of an endpoint, and creates it if needed.
func (b *Batcher) worker(e *registry.Endpoint) *worker {
	name := e.Name()
	w := b.workers[name]
	if w == nil {
		w = &worker{lastSlowdown: 1}
		b.workers[name] = w
	}
	return w
}

// roster is the endpoints of a service that accept work, with their states.
type roster struct {
	list      []*registry.Endpoint // of the index
	workers   []*worker            // in the order of list
	centres   []string
	centre    []int              // position in centres of the endpoint's data centre, in the order of list
	available []float64          // calls that the usable endpoints can work on at once, in the order of centres
	byCentre  map[string]float64 // the same, by name
	idle      []idleEndpoint     // of the newest serviceState
}

// rosterOf returns the roster of a service, and makes it again once the index has changed.
func (b *Batcher) rosterOf(service string) *roster {
	list, r := b.endpoints().Accepting(service), b.rosters[service]
	if r != nil && len(r.list) == len(list) && (len(list) == 0 || &r.list[0] == &list[0]) {
		return r
	}
	r = &roster{list: list, byCentre: make(map[string]float64)}
	for _, e := range list {
		i := slices.Index(r.centres, e.Centre)
		if i < 0 {
			i = len(r.centres)
			r.centres = append(r.centres, e.Centre)
		}
		r.workers, r.centre = append(r.workers, b.worker(e)), append(r.centre, i)
	}
	r.available = make([]float64, len(r.centres))
	b.rosters[service] = r
	return r
}

// capacities returns the available calls by data centre, without those that have none. The map is valid until the
// next call.
func (r *roster) capacities() map[string]float64 {
	clear(r.byCentre)
	for i, n := range r.available {
		if n > 0 {
			r.byCentre[r.centres[i]] = n
		}
	}
	return r.byCentre
}

// inBackoff reports whether the endpoint gets no calls for now.
func (w *worker) inBackoff(now time.Time) bool { return now.Before(w.backoffUntil) }

// inFailureBackoff reports whether the endpoint is in back-off after a failed
// call. An endpoint that only refused a call or had no space does not count: it
// will soon be usable.
func (w *worker) inFailureBackoff(now time.Time) bool { return w.failures > 0 && w.inBackoff(now) }

// slowdown returns how many times its expected duration the next call should take.
func (w *worker) slowdown(now time.Time) float64 {
	if w.lastSlowdown == 1 {
		return 1
	}
	if age := now.Sub(w.fadedAt); w.faded == 0 || age < 0 || age > fadedLifetime {
		forgotten := math.Exp2(-now.Sub(w.slowdownAt).Seconds() / slowdownHalfLife.Seconds())
		w.faded, w.fadedAt = 1+(w.lastSlowdown-1)*forgotten, now
	}
	return w.faded
}

// recordDuration records the duration of a call that got a response, or the duration so
// far of an overdue call, and resets the count of failures.
func (w *worker) recordDuration(took, expected time.Duration, now time.Time) {
	w.failures = 0
	seen := max(1, float64(took)/float64(expected))
	w.lastSlowdown = max(1, w.slowdown(now)+slowdownWeight*(seen-w.slowdown(now)))
	w.slowdownAt = now
	w.faded = 0
}

// recordFailure starts the back-off after a call that was refused or failed.
func (w *worker) recordFailure(refused bool, now time.Time) {
	if refused {
		w.backoffUntil = now.Add(refusedBackoff)
		return
	}
	w.backoffUntil = now.Add(min(maxBackoff, failureBackoff<<min(w.failures, 4)))
	w.failures++
}

// markOverdue counts a call in flight as overdue. It starts a back-off if more
// than maxOverdueWithoutBackoff calls of the endpoint are overdue.
func (w *worker) markOverdue(now time.Time) {
	w.calls--
	w.overdue++
	if w.overdue > maxOverdueWithoutBackoff {
		w.backoffUntil = now.Add(min(maxBackoff, failureBackoff<<min(w.overdue-maxOverdueWithoutBackoff-1, 4)))
	}
}

// recordFull records that the endpoint, which can hold size bytes of results, had
// no space for one.
func (w *worker) recordFull(size int64, now time.Time) {
	w.space.ReportFull(size, now)
	w.backoffUntil = now.Add(noSpaceBackoff)
}

// idleEndpoint is an endpoint that can take a call.
type idleEndpoint struct {
	*registry.Endpoint
	worker   *worker
	slowdown float64      // how many times its expected duration the next call should take
	use      cooldown.Use // how much the endpoint is needed
}

// serviceState is the state of the endpoints of a service at one moment.
type serviceState struct {
	idle   []idleEndpoint
	calls  int // in flight to all endpoints, without the overdue ones
	usable int // endpoints that are not in back-off after a failed call
	// spacing is the time between two calls while all usable endpoints limit theirs and few may
	// get one now; zero if calls need not wait for each other.
	spacing time.Duration
}

// refreshService tells the scheduler how many calls the endpoints of a service can
// work on at once in each data centre, and returns the state of the endpoints, which is valid until the next call.
func (b *Batcher) refreshService(service string, batch *catalog.Batch, now time.Time) serviceState {
	r := b.rosterOf(service)
	clear(r.available)
	state := serviceState{idle: r.idle[:0]}
	var space, whole int64  // for results of this instance, and of all, at the usable endpoints
	limited, rate := 0, 0.0 // usable endpoints that limit their calls, and the calls a second that they take
	use := cooldown.Usual
	if b.pauseLeft(r.list, now) > 0 {
		use = cooldown.LastResort
	}
	for i, e := range r.list {
		w := r.workers[i]
		slowdown := w.slowdown(now)
		state.calls += w.calls
		if !b.pauses.Allows(e.Name(), use, now) {
			continue
		}
		if !w.inFailureBackoff(now) {
			r.available[r.centre[i]] += b.callsAtOnce(e.Name(), batch, slowdown)
			state.usable++
			space += max(0, w.space.Usable(batch.ResultBytes, now))
			whole += freespace.Whole(batch.ResultBytes)
			if r, ok := b.limits.Rate(e.Name()); ok {
				limited++
				rate += r * executeShare
			}
		}
		if w.calls < batch.MaxCalls && !w.inBackoff(now) && b.takesCall(e, now) {
			state.idle = append(state.idle, idleEndpoint{Endpoint: e, worker: w, slowdown: slowdown, use: use})
		}
	}
	r.idle = state.idle
	if limited == state.usable && rate > 0 && len(state.idle) <= limited/2 {
		state.spacing = time.Duration(float64(time.Second) / rate)
	}
	b.scheduler.LimitRate(service, b.occupancy(service).Rate(space, whole))
	b.scheduler.UpdateService(service, b.callTime(service).Batch(batch), r.capacities(), now)
	if contended, share := b.scheduler.Contended(service, now); contended != b.contended[service] {
		b.contended[service] = contended
		b.log.Info("others at the endpoints of a service", "service", service, "crowded", contended, "share", share, "calls", b.scheduler.MaxCalls(service))
	}
	return state
}

// fastestFirst returns the idle endpoints, the least slowed down first.
func (s *serviceState) fastestFirst() []idleEndpoint {
	slices.SortStableFunc(s.idle, func(x, y idleEndpoint) int { return cmp.Compare(x.slowdown, y.slowdown) })
	return s.idle
}

// takesCall reports whether neither the limit of an endpoint nor a rejection, if it is brittle, keeps
// it from getting a call now.
func (b *Batcher) takesCall(e *registry.Endpoint, now time.Time) bool {
	left, ok := b.limits.Left(e.Name(), now)
	return ok && left == 0 && b.brittle.HasRoom(e.Service, e.Name(), 0, now)
}

// callsAtOnce returns how many calls an endpoint can work on at once. One that limits its calls
// works on fewer, in the mean.
func (b *Batcher) callsAtOnce(name string, batch *catalog.Batch, slowdown float64) float64 {
	calls := float64(batch.MaxCalls) / slowdown
	if rate, limited := b.limits.Rate(name); limited {
		full := batch.CallOverhead + time.Duration(batch.MaxPieces)*batch.PieceTime
		calls = min(calls, rate*executeShare*full.Seconds())
	}
	return calls
}

// pauseLeft returns the time until the first of the endpoints may get a call, if all of
// them asked for a pause; zero if one may get a call now.
func (b *Batcher) pauseLeft(endpoints []*registry.Endpoint, now time.Time) time.Duration {
	var least time.Duration
	for _, e := range endpoints {
		left := b.pauses.Left(e.Name(), now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// longestPause returns the time until each service of a job has an endpoint that may get
// a call, as far as pauses are the reason that it has none.
func (b *Batcher) longestPause(j *job.Job, now time.Time) time.Duration {
	var longest time.Duration
	for _, s := range j.Stages {
		longest = max(longest, b.pauseLeft(b.endpoints().Accepting(s.Service), now))
	}
	return longest
}
