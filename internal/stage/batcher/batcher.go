// Package batcher runs the stage work of many requests in batched calls. A call
// costs an endpoint far more than one more piece in it, so a Batcher keeps the
// pieces of all jobs in a scheduler.Scheduler and, whenever an endpoint is free, sends
// it the pieces that the scheduler selects in one call. It retries pieces of failed and
// overdue calls, tracks the speed, failures and free space of each endpoint, and
// frees results that are no longer needed. It does I/O only through an
// executor.Executor.
package batcher

// This file defines Batcher and the life cycle of a job.

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/calltime"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/occupancy"
	"github.com/jacinthstile/jacinthstile/internal/stage/scheduler"
)

const (
	tickInterval = 50 * time.Millisecond // between checks for overdue calls and expired jobs
	freeDelay    = 30 * time.Millisecond // time for which handles are collected, so that one call frees many results
	freeTimeout  = 2 * time.Second       // limit for one call that frees results
	// limitedFreeDelay is freeDelay for an endpoint that limits its calls.
	limitedFreeDelay = time.Second
	maxFailedPieces  = 8 // a job with more failed executions is aborted
	maxJobs          = 4096
	busyRetryAfter   = 300 * time.Millisecond // for a refusal because of maxJobs: some of the jobs have ended by then
)

// Batcher runs jobs. It is safe for concurrent use.
type Batcher struct {
	catalog    func() *catalog.Catalog
	endpoints  func() *registry.Index
	executor   executor.Executor
	pauses     *cooldown.Tracker
	limits     *ratelimit.Tracker
	brittle    *brittle.Tracker
	quarantine *quarantine.Quarantine
	log        logr.Logger

	mu           sync.Mutex
	scheduler    *scheduler.Scheduler
	jobs         map[string]*entry
	workers      map[string]*worker             // by endpoint name
	rosters      map[string]*roster             // by service
	contended    map[string]bool                // whether other instances use the endpoints too, by service
	lastCalls    map[string]time.Time           // when pieces were last sent, by service
	callTimes    map[string]*calltime.Estimator // by service
	occupancies  map[string]*occupancy.Meter    // by service
	inFlight     map[*batchCall]struct{}
	pendingFrees int // calls that free results, scheduled or in flight
}

// entry is the state of one job.
type entry struct {
	job          *job.Job
	done         chan error // receives the job's end; has a buffer of one, so that sending does not block
	failedPieces int        // executions of pieces that failed
	crashes      int        // endpoints that crashed while they executed pieces
	freed        []bool     // by stage, whether its results were freed
	expires      time.Time  // freeTimeout after this time the job is removed, even without Release
	start        time.Time
	predicted    time.Duration // how long the stages take, predicted by the scheduler on arrival
	stageLog     []string      // for each finished stage: service, time since start, and endpoint of the last piece
}

// New returns a Batcher without jobs. The function currentCatalog returns nil while
// there is no catalog; currentEndpoints returns the index of the known endpoints; pauses
// holds those of them that asked for a pause, limits those that limit the calls of all
// instances, and frail those that are brittle; q learns under which jobs endpoints crash.
func New(currentCatalog func() *catalog.Catalog, currentEndpoints func() *registry.Index, e executor.Executor, pauses *cooldown.Tracker,
	limits *ratelimit.Tracker, frail *brittle.Tracker, q *quarantine.Quarantine, log logr.Logger,
) *Batcher {
	return &Batcher{
		catalog: currentCatalog, endpoints: currentEndpoints, executor: e, pauses: pauses, limits: limits, brittle: frail, quarantine: q, log: log, scheduler: scheduler.New(),
		jobs: make(map[string]*entry), workers: make(map[string]*worker), rosters: make(map[string]*roster), contended: make(map[string]bool), lastCalls: make(map[string]time.Time),
		callTimes: make(map[string]*calltime.Estimator), occupancies: make(map[string]*occupancy.Meter),
		inFlight: make(map[*batchCall]struct{}),
	}
}

// Prepare executes the pieces of a job and returns the results that its request
// takes as inputs. It blocks until the job ends. The caller must call Release once
// the results are no longer needed. The error is a *fault.Fault if the job was
// refused or aborted, and the context's error if the context ended.
func (b *Batcher) Prepare(ctx context.Context, j *job.Job) ([]job.Result, error) {
	await, err := b.Submit(j)
	if err != nil {
		return nil, err
	}
	return await(ctx)
}

// Submit is the part of Prepare that does not block. It returns a *fault.Fault if the job is refused, and
// otherwise a function that waits for its results.
func (b *Batcher) Submit(j *job.Job) (await func(context.Context) ([]job.Result, error), err error) {
	e, err := b.submit(j)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) ([]job.Result, error) { return b.await(ctx, e) }, nil
}

func (b *Batcher) await(ctx context.Context, e *entry) ([]job.Result, error) {
	select {
	case err := <-e.done:
		if err != nil {
			return nil, err
		}
		return e.job.Outputs(), nil
	case <-ctx.Done():
		b.Release(e.job.ID)
		return nil, ctx.Err()
	}
}

// submit admits a job and queues its first pieces, or returns a *fault.Fault if the
// job is refused.
func (b *Batcher) submit(j *job.Job) (*entry, error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs[j.ID] != nil || len(b.jobs) >= maxJobs {
		refusal := fault.New(code.Overloaded, "%d jobs are under way, or one with the id %s", len(b.jobs), j.ID)
		refusal.RetryAfter = busyRetryAfter
		return nil, refusal
	}
	c := b.catalog()
	if c == nil {
		refusal := fault.New(code.NotReady, "the instance that gathers knows no catalog yet")
		refusal.RetryAfter = tickInterval
		return nil, refusal
	}
	if service, ok := b.unserved(j); ok {
		return nil, noEndpointFault(service)
	}
	refreshed := b.refreshServices(c, j, now)
	v := b.scheduler.CheckAdmission(j, now)
	b.log.Info("job judged", "request", j.Request, "rank", j.Priority, "take", v.Admit, "ground", v.Reason.String(),
		"takes", v.Predicted.String(), "wait", v.Wait.String(), "left", j.Goal.Sub(now).String(), "back", j.Returned, "share", v.Share, "rival", v.Rival, "account", j.Account, "for", v.Account)
	if !v.Admit {
		refusal := fault.New(refusalCode(v.Reason), "stages: %s, they would take %s of %s", v.Reason, v.Predicted, j.Goal.Sub(now))
		refusal.RetryAfter = max(v.RetryAfter, b.longestPause(j, now))
		return nil, refusal
	}
	e := &entry{job: j, done: make(chan error, 1), freed: make([]bool, len(j.Stages)), expires: j.Deadline, start: now, predicted: v.Predicted}
	b.jobs[j.ID] = e
	j.Suspect, _ = b.quarantine.IsSuspect(j.Fingerprint, now)
	b.scheduler.Add(j, now)
	if j.Finished() { // it has no pieces
		j.Ended = true
		e.finish(nil)
		return e, nil
	}
	b.dispatch(now, refreshed)
	return e, nil
}

func refusalCode(reason scheduler.Reason) code.Code {
	if reason == scheduler.NoEndpoint {
		return code.NoEndpoint
	}
	return code.Overloaded
}

// refreshServices calls refreshService for each service of a job, and returns the
// states by service.
func (b *Batcher) refreshServices(c *catalog.Catalog, j *job.Job, now time.Time) map[string]serviceState {
	refreshed := make(map[string]serviceState)
	for _, stage := range j.Stages {
		s := c.Services[stage.Service]
		if s == nil || s.Batch == nil {
			continue
		}
		if _, done := refreshed[stage.Service]; !done {
			refreshed[stage.Service] = b.refreshService(stage.Service, s.Batch, now)
		}
	}
	return refreshed
}

// restart executes all pieces of a job again after an input was lost. Results
// that later stages have consumed were already freed, so it cannot resume midway.
func (b *Batcher) restart(e *entry) {
	b.freeAll(e)
	clear(e.freed)
	b.scheduler.InvalidateResults(e.job, func(job.Result) bool { return true }, time.Now())
}

// Release ends a job and frees its results. Unknown ids are ignored.
func (b *Batcher) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.jobs[id]; e != nil {
		b.remove(e)
	}
}

// remove forgets a job and frees its results.
func (b *Batcher) remove(e *entry) {
	b.scheduler.Remove(e.job)
	b.freeAll(e)
	delete(b.jobs, e.job.ID)
	ended := fault.New(code.NotReady, "the order %s was ended while its stages ran", e.job.ID)
	ended.RetryAfter = busyRetryAfter
	e.finish(ended) // wakes Prepare if it still waits
}

// finish hands the end of the job to Prepare. Only the first call counts.
func (e *entry) finish(err error) {
	select {
	case e.done <- err:
	default:
	}
}

// abort ends a job that cannot be finished; Prepare returns the reason.
func (b *Batcher) abort(e *entry, reason *fault.Fault) {
	b.log.Info("job given up", "request", e.job.Request, "reason", reason.Error())
	e.finish(reason)
	b.remove(e)
}

// ReachesEndpoints reports whether this instance can reach the endpoints that
// execute pieces: at most half of them are in back-off after two or more failed
// calls in a row.
func (b *Batcher) ReachesEndpoints() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := 0
	for _, w := range b.workers {
		if w.failures > 1 && w.inFailureBackoff(now) {
			failed++
		}
	}
	return 2*failed <= len(b.workers)
}

// Jobs returns the number of jobs that have not been released or aborted.
func (b *Batcher) Jobs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs)
}

// Idle reports whether there are no jobs and no results that are still to be freed.
func (b *Batcher) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs) == 0 && b.pendingFrees == 0
}

// Run handles overdue calls and expired jobs until the context ends.
func (b *Batcher) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			contain.Do(b.log, "check of stage calls", func() { b.tick(time.Now()) })
		case <-ctx.Done():
			return
		}
	}
}

func (b *Batcher) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropGoneWorkers()
	if len(b.jobs) == 0 {
		return
	}
	for _, j := range b.scheduler.Expired(now) {
		if e := b.jobs[j.ID]; e != nil {
			b.abort(e, fault.New(code.NoTime, "the stages were not done in time"))
		}
	}
	b.rejectUnserved()
	for _, e := range b.jobs {
		if now.After(e.expires.Add(freeTimeout)) {
			b.remove(e)
		}
	}
	for c := range b.inFlight {
		b.checkOverdue(c, now)
	}
	b.dispatch(now, nil)
}
