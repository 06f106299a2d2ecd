// Package foreman gathers the stage work of many requests into full calls. It
// drives a queue.Queue: whenever an endpoint is free, the pieces that the queue
// chooses go to it in one call.
package foreman

// This file defines Foreman and the way of one job.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/maker"
	"github.com/jacinthstile/jacinthstile/internal/stage/queue"
)

const (
	tickEvery  = 50 * time.Millisecond // between two looks at late calls and expired jobs
	freeEvery  = 30 * time.Millisecond // that handles are gathered before an endpoint is told to free them
	freeLimit  = 2 * time.Second       // of a call that frees results
	mostFaults = 8                     // pieces of one job that may fail before it is given up
	mostJobs   = 4096
)

// Foreman is safe for concurrent use.
type Foreman struct {
	catalog func() *catalog.Catalog
	fleet   func() *fleet.Index
	maker   maker.Maker
	log     logr.Logger

	mu      sync.Mutex
	queue   *queue.Queue
	jobs    map[string]*entry
	workers map[string]*worker // by name of the endpoint
	crowded map[string]bool    // services that other instances use as well
	running map[*running]struct{}
	frees   int // calls that free results, waiting or under way
}

// entry is one job with who waits for it.
type entry struct {
	job     *job.Job
	done    chan error // holds one element
	faults  int
	freed   []bool // stages whose results were given up
	expires time.Time
	start   time.Time
	takes   time.Duration // predicted
	ends    []string      // of each stage: its service, when its last piece was made since the start, and by whom
}

var errEnded = errors.New("the job was ended")

// New returns a foreman without work.
func New(c func() *catalog.Catalog, f func() *fleet.Index, m maker.Maker, log logr.Logger) *Foreman {
	return &Foreman{
		catalog: c, fleet: f, maker: m, log: log, queue: queue.New(),
		jobs: make(map[string]*entry), workers: make(map[string]*worker), crowded: make(map[string]bool),
		running: make(map[*running]struct{}),
	}
}

// Prepare makes the pieces of a job and returns the results that its request
// takes. Release must follow. The error is a *fault.Fault where the job was
// refused or given up, and the context's where that ended.
func (f *Foreman) Prepare(ctx context.Context, j *job.Job) ([]job.Result, error) {
	e, err := f.submit(j)
	if err != nil {
		return nil, err
	}
	return f.await(ctx, e)
}

func (f *Foreman) await(ctx context.Context, e *entry) ([]job.Result, error) {
	select {
	case err := <-e.done:
		if err != nil {
			return nil, err
		}
		return e.job.Outputs(), nil
	case <-ctx.Done():
		f.Release(e.job.ID)
		return nil, ctx.Err()
	}
}

func (f *Foreman) submit(j *job.Job) (*entry, error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs[j.ID] != nil || len(f.jobs) >= mostJobs {
		return nil, fault.New(code.Overloaded, "%d jobs are under way", len(f.jobs))
	}
	c := f.catalog()
	if c == nil {
		bad := fault.New(code.NotReady, "the instance that gathers knows no catalog yet")
		bad.After = tickEvery
		return nil, bad
	}
	surveyed := f.surveys(c, j, now)
	v := f.queue.Judge(j, now)
	f.log.Info("job judged", "request", j.Request, "rank", j.Rank, "take", v.Take, "ground", v.Ground.String(),
		"takes", v.Takes.String(), "wait", v.Wait.String(), "left", j.Goal.Sub(now).String())
	if !v.Take {
		bad := fault.New(refusal(v.Ground), "stages: %s, they would take %s of %s", v.Ground, v.Takes, j.Goal.Sub(now))
		bad.After = v.After
		return nil, bad
	}
	e := &entry{job: j, done: make(chan error, 1), freed: make([]bool, len(j.Stages)), expires: j.Deadline, start: now, takes: v.Takes}
	f.jobs[j.ID] = e
	f.queue.Add(j)
	f.dispatch(now, surveyed)
	return e, nil
}

func refusal(g queue.Ground) code.Code {
	if g == queue.NoWorker {
		return code.NoEndpoint
	}
	return code.Overloaded
}

// surveys surveys the services of a job.
func (f *Foreman) surveys(c *catalog.Catalog, j *job.Job, now time.Time) map[string]survey {
	surveyed := make(map[string]survey)
	for _, stage := range j.Stages {
		s := c.Services[stage.Service]
		if s == nil || s.Batch == nil {
			continue
		}
		if _, done := surveyed[stage.Service]; !done {
			surveyed[stage.Service] = f.survey(stage.Service, s.Batch, now)
		}
	}
	return surveyed
}

// restart makes all results of a job again, since those that later stages
// took have been freed.
func (f *Foreman) restart(e *entry) {
	f.freeAll(e)
	clear(e.freed)
	f.queue.Lost(e.job, func(job.Result) bool { return true })
}

// Release tells that a job's results are not needed any more. It may be called
// for jobs that are unknown.
func (f *Foreman) Release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.jobs[id]; e != nil {
		f.end(e)
	}
}

// end forgets a job and frees its results.
func (f *Foreman) end(e *entry) {
	f.queue.Remove(e.job)
	f.freeAll(e)
	delete(f.jobs, e.job.ID)
	select {
	case e.done <- errEnded: // for one that still waits
	default:
	}
}

// giveUp ends a job that cannot be done.
func (f *Foreman) giveUp(e *entry, bad *fault.Fault) {
	f.log.Info("job given up", "request", e.job.Request, "reason", bad.Error())
	e.done <- bad
	f.end(e)
}

// Reaches reports whether this instance reaches the endpoints that make pieces:
// fewer than half of them rest after failures.
func (f *Foreman) Reaches() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := 0
	for _, w := range f.workers {
		if w.failures > 1 && w.failing(now) {
			failed++
		}
	}
	return 2*failed <= len(f.workers)
}

// Jobs returns how many jobs are under way.
func (f *Foreman) Jobs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}

// Idle reports whether no job is under way and no result is still to be freed.
func (f *Foreman) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs) == 0 && f.frees == 0
}

// Run looks after late calls and expired jobs until the context ends.
func (f *Foreman) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (f *Foreman) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.jobs) == 0 {
		return
	}
	for _, j := range f.queue.Expired(now) {
		if e := f.jobs[j.ID]; e != nil {
			f.giveUp(e, fault.New(code.NoTime, "the stages were not done in time"))
		}
	}
	for _, e := range f.jobs {
		if now.After(e.expires.Add(freeLimit)) {
			f.end(e)
		}
	}
	for r := range f.running {
		f.lookAfter(r, now)
	}
	f.forget()
	f.dispatch(now, nil)
}
