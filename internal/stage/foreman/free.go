package foreman

// This file frees results that are not needed any more.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// freeTaken frees the results of stages that all later stages have taken.
func (f *Foreman) freeTaken(e *entry) {
	for i := range e.job.Stages {
		if !e.freed[i] && e.job.Open[i] == 0 && !e.job.Last(i) && taken(e.job, i) {
			e.freed[i] = true
			for _, r := range e.job.Made[i] {
				f.discard(r)
			}
		}
	}
}

// taken reports whether the stages that take the results of stage i are done.
func taken(j *job.Job, i int) bool {
	for k, s := range j.Stages {
		for _, a := range s.After {
			if a == i && j.Open[k] > 0 {
				return false
			}
		}
	}
	return true
}

// freeAll frees all results of a job that were not freed before.
func (f *Foreman) freeAll(e *entry) {
	for i, made := range e.job.Made {
		if e.freed[i] {
			continue
		}
		e.freed[i] = true
		for _, r := range made {
			if r.Handle != "" {
				f.discard(r)
			}
		}
	}
}

// discard has a result freed with the next call to its endpoint.
func (f *Foreman) discard(r job.Result) {
	e := f.fleet().Named(r.Maker)
	w := f.workers[r.Maker]
	if w == nil {
		return
	}
	if e == nil {
		w.room.Free(r.Bytes)
		return // it is gone, and the result with it
	}
	w.free = append(w.free, r.Handle)
	w.freeSize += r.Bytes
	if w.freeing {
		return
	}
	w.freeing = true
	f.frees++
	time.AfterFunc(freeEvery, func() { f.flush(e, w) })
}

func (f *Foreman) flush(e *fleet.Endpoint, w *worker) {
	f.mu.Lock()
	handles, size := w.free, w.freeSize
	w.free, w.freeSize, w.freeing = nil, 0, false
	f.mu.Unlock()
	defer f.freed(w, size)
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	if err := f.maker.Free(ctx, e, handles); err != nil {
		f.log.Info("results not freed, they end by themselves", "endpoint", e.ID, "results", len(handles), "reason", err.Error())
	}
}

// freed counts room that an endpoint has again, and gives it work. Where the
// call failed the results end by themselves soon after.
func (f *Foreman) freed(w *worker, size int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frees--
	w.room.Free(size)
	f.dispatch(time.Now(), nil)
}

// leave counts room that an endpoint has again where results ended by themselves.
func (f *Foreman) leave(w *worker, size int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.room.Free(size)
	f.dispatch(time.Now(), nil)
}
