package foreman

// This file defines worker, what is known of one endpoint that makes pieces.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/stage/room"
)

const (
	slowGain   = 0.5                    // weight of a call in the moving mean of the speed
	slowHalf   = 3 * time.Second        // in which half of a slowness is forgotten
	refusedOut = 60 * time.Millisecond  // that an endpoint rests which is full
	failedOut  = 300 * time.Millisecond // that an endpoint rests after a failed call, doubled with each one more
	mostOut    = 3 * time.Second
	roomOut    = 100 * time.Millisecond // that an endpoint rests which has no room for results
)

type worker struct {
	calls    int // under way, but for those that are overdue
	overdue  int // calls
	room     room.Room
	slow     float64 // times as long as usual that calls took, 1 or more
	slowAt   time.Time
	failures int
	until    time.Time // that it gets no calls
	free     []string  // handles to be freed with the next call
	freeSize int64     // bytes of these
	freeing  bool
}

// forget drops what is known of endpoints that are gone.
func (f *Foreman) forget() {
	index := f.fleet()
	for name, w := range f.workers {
		if w.calls == 0 && w.overdue == 0 && index.Named(name) == nil {
			delete(f.workers, name)
		}
	}
}

func (f *Foreman) worker(e *fleet.Endpoint) *worker {
	name := e.Name()
	w := f.workers[name]
	if w == nil {
		w = &worker{slow: 1}
		f.workers[name] = w
	}
	return w
}

// out reports whether the endpoint rests.
func (w *worker) out(now time.Time) bool { return now.Before(w.until) }

// failing reports whether the endpoint rests after a failed call. One that is
// only full is soon of use.
func (w *worker) failing(now time.Time) bool { return w.failures > 0 && w.out(now) }

// factor is how many times as long as usual the next call should take.
func (w *worker) factor(now time.Time) float64 {
	forgotten := math.Exp2(-now.Sub(w.slowAt).Seconds() / slowHalf.Seconds())
	return 1 + (w.slow-1)*forgotten
}

func (w *worker) ended(took, expected time.Duration, now time.Time) {
	w.failures = 0
	seen := max(1, float64(took)/float64(expected))
	w.slow = max(1, w.factor(now)+slowGain*(seen-w.factor(now)))
	w.slowAt = now
}

func (w *worker) failed(refused bool, now time.Time) {
	if refused {
		w.until = now.Add(refusedOut)
		return
	}
	w.until = now.Add(min(mostOut, failedOut<<min(w.failures, 4)))
	w.failures++
}

// overrun counts a call as overdue that was under way, and has the endpoint
// rest where others are overdue as well.
func (w *worker) overrun(now time.Time) {
	w.calls--
	w.overdue++
	if w.overdue > calmOverdue {
		w.until = now.Add(min(mostOut, failedOut<<min(w.overdue-calmOverdue-1, 4)))
	}
}

// full records that the endpoint had no place for a result.
func (w *worker) full(size int64, now time.Time) {
	w.room.Full(size, now)
	w.until = now.Add(roomOut)
}

// idle is an endpoint that can take a call.
type idle struct {
	*fleet.Endpoint
	worker *worker
	slow   float64 // how many times as long as usual its next call should take
}

// survey is what was seen of the endpoints of a service at one moment.
type survey struct {
	idle  []idle // that can take a call, the fastest first
	calls int    // under way at all, but for those that are overdue
}

// survey tells the queue how many endpoints of a service are of use.
func (f *Foreman) survey(service string, b *catalog.Batch, now time.Time) survey {
	usable := make(map[string]float64)
	var v survey
	for _, e := range f.fleet().Of(service) {
		w := f.worker(e)
		slow := w.factor(now)
		v.calls += w.calls
		if !w.failing(now) {
			usable[e.Centre] += float64(b.Calls) / slow
		}
		if w.calls < b.Calls && !w.out(now) {
			v.idle = append(v.idle, idle{Endpoint: e, worker: w, slow: slow})
		}
	}
	f.queue.Service(service, *b, usable, now)
	if crowded, share := f.queue.Crowded(service, now); crowded != f.crowded[service] {
		f.crowded[service] = crowded
		f.log.Info("others at the endpoints of a service", "service", service, "crowded", crowded, "share", share, "calls", f.queue.Most(service))
	}
	slices.SortStableFunc(v.idle, func(a, b idle) int { return cmp.Compare(a.slow, b.slow) })
	return v
}
