package batcher

// This file frees results that are no longer needed.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// freeConsumed frees the results of each stage whose consuming stages are all
// finished.
func (b *Batcher) freeConsumed(e *entry) {
	for i := range e.job.Stages {
		if !e.freed[i] && e.job.Remaining[i] == 0 && !e.job.IsFinal(i) && consumed(e.job, i) {
			e.freed[i] = true
			for _, r := range e.job.Results[i] {
				b.discard(r)
			}
		}
	}
}

// consumed reports whether all stages that take the results of stage i are finished.
func consumed(j *job.Job, i int) bool {
	for k, s := range j.Stages {
		for _, a := range s.After {
			if a == i && j.Remaining[k] > 0 {
				return false
			}
		}
	}
	return true
}

// freeAll frees all results of a job that were not freed yet.
func (b *Batcher) freeAll(e *entry) {
	for i, made := range e.job.Results {
		if e.freed[i] {
			continue
		}
		e.freed[i] = true
		for _, r := range made {
			if r.Handle != "" {
				b.discard(r)
			}
		}
	}
}

// discard schedules a result to be freed. Results of one endpoint are collected
// for freeDelay and freed by one call. The caller holds the lock.
func (b *Batcher) discard(r job.Result) {
	e := b.endpoints().ByName(r.Endpoint)
	w := b.workers[r.Endpoint]
	if w == nil {
		return
	}
	if e == nil {
		w.space.Release(r.Bytes)
		return // the endpoint is gone, and the result with it
	}
	delay := freeDelay
	if b.limits.Limited(r.Endpoint) {
		delay = limitedFreeDelay
	}
	b.occupancy(e.Service).Record(r.Bytes, time.Since(r.Since)+delay)
	w.toFree = append(w.toFree, r.Handle)
	w.toFreeBytes += r.Bytes
	if w.freeScheduled {
		return
	}
	w.freeScheduled = true
	b.pendingFrees++
	b.flushFreesAfter(delay, e, w)
}

func (b *Batcher) flushFreesAfter(delay time.Duration, e *registry.Endpoint, w *worker) {
	time.AfterFunc(delay, func() {
		contain.Do(b.log, "freeing results", func() { b.flushFrees(e, w) })
	})
}

// flushFrees calls an endpoint to free the collected results. If the endpoint asked for
// a pause, it does so afterwards, and if it limits its calls, when the limit has room. One in a drained data centre
// is not called.
func (b *Batcher) flushFrees(e *registry.Endpoint, w *worker) {
	now := time.Now()
	if known := b.endpoints().ByName(e.Name()); known != nil && known.Drained {
		b.keepDrained(e, w)
		return
	}
	left, ok := b.limits.Left(e.Name(), now)
	if !ok {
		b.leaveFrees(e, w)
		return
	}
	if left > 0 {
		b.flushFreesAfter(max(freeDelay, min(left, limitedFreeDelay)), e, w)
		return
	}
	if !b.pauses.Take(e.Name(), cooldown.Usual, now) {
		b.flushFreesAfter(max(freeDelay, b.pauses.Left(e.Name(), now)), e, w)
		return
	}
	if !b.limits.Take(e.Name(), now) {
		b.flushFreesAfter(freeDelay, e, w)
		return
	}
	b.mu.Lock()
	handles, size := w.toFree, w.toFreeBytes
	w.toFree, w.toFreeBytes, w.freeScheduled = nil, 0, false
	b.mu.Unlock()
	defer b.freeDone(w, size)
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := b.executor.Free(ctx, e, handles); err != nil {
		b.log.Info("freeing results failed; they stay until the endpoint drops them", "endpoint", e.ID, "results", len(handles), "reason", err.Error())
	}
}

// leaveFrees leaves results to the endpoint, which drops them after their retention time: this
// instance has no part of its limit, as another one is the coordinator now.
func (b *Batcher) leaveFrees(e *registry.Endpoint, w *worker) {
	b.mu.Lock()
	n, size := len(w.toFree), w.toFreeBytes
	w.toFree, w.toFreeBytes, w.freeScheduled = nil, 0, false
	b.mu.Unlock()
	b.log.Info("results are not freed: the endpoint limits its calls, and this instance has no part of the limit", "endpoint", e.ID, "results", n)
	b.freeDone(w, size)
}

// keepDrained leaves results to an endpoint in a drained data centre, which drops them after their retention
// time. Their space counts as used until then, as the data centre may be taken back sooner.
func (b *Batcher) keepDrained(e *registry.Endpoint, w *worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := w.toFreeBytes
	w.toFree, w.toFreeBytes, w.freeScheduled = nil, 0, false
	b.pendingFrees--
	time.AfterFunc(b.retention(e.Service), func() { b.resultsExpired(w, size) })
}

// freeDone counts the space of freed results as free again and dispatches calls.
// It does so even if the call failed: the endpoint then drops the results soon
// after by itself.
func (b *Batcher) freeDone(w *worker, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingFrees--
	w.space.Release(size)
	b.dispatch(time.Now(), nil)
}

// resultsExpired counts the space of results as free again that an endpoint has
// dropped by itself, and dispatches calls.
func (b *Batcher) resultsExpired(w *worker, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.space.Release(size)
	b.dispatch(time.Now(), nil)
}
