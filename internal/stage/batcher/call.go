package batcher

// This file sends calls to endpoints and handles their outcomes.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/calltime"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/occupancy"
	"github.com/jacinthstile/jacinthstile/internal/stage/scheduler"
)

const (
	// A call is overdue when it has taken overdueFactor times its expected duration
	// plus overdueMargin. Its pieces are then queued again for another endpoint.
	overdueFactor = 2.0
	overdueMargin = 150 * time.Millisecond
	callTimeout   = 8 * time.Second
	// maxOverdueWithoutBackoff is how many calls of an endpoint may be overdue
	// while it still gets its next call without back-off. An overdue call has either
	// lost its response, in which case the endpoint is free, or is held up by a slow
	// endpoint, on which more calls would only pile up.
	maxOverdueWithoutBackoff = 1
	// suspectCrashes is the number of crashes from which the pieces of a job share no call with
	// others. One crash has most probably another cause.
	suspectCrashes = 2
	// crashRetryAfter is the time after which endpoints that crashed should be back.
	crashRetryAfter = 2 * time.Second
	// executeShare is the share of an endpoint's limit for calls that execute pieces; the rest is
	// for those that free their results.
	executeShare = 0.5
)

// batchCall is one call in flight, with the pieces that it carries.
type batchCall struct {
	worker        *worker
	endpoint      *registry.Endpoint
	batch         *catalog.Batch
	pieces        []scheduler.Piece
	kinds         map[calltime.Kind]int // numbers of the pieces
	start         time.Time
	expected      time.Duration // duration if the endpoint works at its usual speed
	reservedBytes int64         // total size of the results of all pieces
	overdue       bool          // the pieces were queued again, and the endpoint may get another call
	responseLost  bool          // cancelled because the endpoint responded to a call that began later
	cancel        context.CancelFunc
}

// dispatch sends calls to all idle endpoints while pieces are queued for them.
// The caller holds the lock. Services whose state is in refreshed, as of now, are
// not refreshed again; refreshed may be nil.
func (b *Batcher) dispatch(now time.Time, refreshed map[string]serviceState) {
	c := b.catalog()
	if c == nil {
		return
	}
	for name, s := range c.Services {
		if s.Batch == nil || b.scheduler.Waiting(name) == 0 {
			continue
		}
		state, known := refreshed[name]
		if !known {
			state = b.refreshService(name, s.Batch, now)
		}
		for _, e := range state.fastestFirst() {
			if b.scheduler.Waiting(name) == 0 || state.calls >= b.scheduler.MaxCalls(name) || now.Before(b.lastCalls[name].Add(state.spacing)) {
				break
			}
			if b.send(e, s.Batch, state.usable <= 1, now) {
				state.calls++
				b.lastCalls[name] = now
			}
		}
	}
}

// send starts the next call to an endpoint in the background. It reports whether
// the scheduler had any pieces for the endpoint, and it may get a call. last says whether no
// other endpoint of the service is usable.
func (b *Batcher) send(e idleEndpoint, batch *catalog.Batch, last bool, now time.Time) bool {
	if !b.limits.Take(e.Name(), now) {
		return false // a call that frees results was taken meanwhile
	}
	if !b.pauses.Take(e.Name(), e.use, now) {
		b.limits.Return(e.Name())
		return false
	}
	w := e.worker
	pieces := b.scheduler.NextBatch(scheduler.Worker{Service: e.Service, Centre: e.Centre, FreeBytes: w.space.Available(batch.ResultBytes, now), Slowdown: e.slowdown, Last: last}, now)
	if len(pieces) == 0 {
		b.limits.Return(e.Name())
		return false
	}
	c := &batchCall{
		worker: w, endpoint: e.Endpoint, batch: batch, pieces: pieces, kinds: kindsOf(pieces), start: now,
	}
	c.expected = b.callTime(e.Service).Call(batch, c.kinds)
	b.log.Info("stage call sent", "service", e.Service, "endpoint", e.ID, "pieces", len(pieces), "waiting", b.scheduler.Waiting(e.Service), "free", w.space.Available(batch.ResultBytes, now),
		"expected", c.expected.String(), "slowdown", e.slowdown, "rate", int(b.scheduler.Rate(e.Service, now)))
	items := make([]executor.Item, len(pieces))
	for i, p := range pieces {
		items[i] = newItem(p, now)
		c.reservedBytes += p.Job.Stages[p.Stage].Bytes
	}
	w.calls++
	w.space.Reserve(c.reservedBytes)
	b.inFlight[c] = struct{}{}
	var ctx context.Context
	ctx, c.cancel = context.WithTimeout(context.Background(), callTimeout)
	go contain.Do(b.log, "stage call", func() { b.execute(ctx, c, items) })
	return true
}

// kindsOf returns the number of pieces of each kind.
func kindsOf(pieces []scheduler.Piece) map[calltime.Kind]int {
	kinds := make(map[calltime.Kind]int)
	for _, p := range pieces {
		kinds[kindOf(p)]++
	}
	return kinds
}

func kindOf(p scheduler.Piece) calltime.Kind {
	s := &p.Job.Stages[p.Stage]
	return calltime.Kind{Bytes: s.Bytes, First: len(s.After) == 0}
}

// callTime returns the estimator of a service, and creates it if needed.
func (b *Batcher) callTime(service string) *calltime.Estimator {
	est := b.callTimes[service]
	if est == nil {
		est = calltime.New()
		b.callTimes[service] = est
	}
	return est
}

// occupancy returns the meter of the space that a service's results take, and creates it if needed.
func (b *Batcher) occupancy(service string) *occupancy.Meter {
	m := b.occupancies[service]
	if m == nil {
		m = new(occupancy.Meter)
		b.occupancies[service] = m
	}
	return m
}

// recordCallTime records the duration of a call that was not overdue. Pieces that were not executed took no time.
func (b *Batcher) recordCallTime(c *batchCall, outcomes []executor.Outcome, now time.Time) {
	if c.overdue {
		return
	}
	for i, o := range outcomes {
		if o.Status != executor.Done && o.Status != executor.Failed {
			c.kinds[kindOf(c.pieces[i])]--
		}
	}
	b.callTime(c.endpoint.Service).Record(c.batch, c.kinds, now.Sub(c.start))
}

func newItem(p scheduler.Piece, now time.Time) executor.Item {
	it := executor.Item{RequestID: p.Job.Request, Stage: p.Stage, Piece: p.Index, TimeLeft: p.Job.Deadline.Sub(now)}
	if len(p.Job.Stages[p.Stage].After) == 0 {
		it.PieceKey = p.Job.Key
		return it
	}
	it.Inputs = p.Job.Inputs(p.Stage)
	return it
}

func (b *Batcher) execute(ctx context.Context, c *batchCall, items []executor.Item) {
	defer c.cancel()
	resp, err := b.executor.Execute(ctx, c.endpoint, items)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, c)
	if c.overdue {
		c.worker.overdue--
	} else {
		c.worker.calls--
	}
	if err != nil {
		b.handleFailure(c, err, now)
	} else {
		c.worker.recordDuration(now.Sub(c.start), c.expected, now)
		b.recordCallTime(c, resp.Outcomes, now)
		b.abandonEarlier(c)
		b.scheduler.RecordResponse(c.endpoint.Service, resp.OtherCalls > c.worker.calls+c.worker.overdue, now)
		for i, p := range c.pieces {
			p.Job.Suspect = false
			b.handleOutcome(c, p, resp.Outcomes[i], now)
		}
	}
	b.dispatch(now, nil)
}

// abandonEarlier cancels the overdue calls of an endpoint that began before a
// call that it has responded to: their responses are taken to be lost.
func (b *Batcher) abandonEarlier(ended *batchCall) {
	if ended.worker.overdue == 0 {
		return
	}
	for c := range b.inFlight {
		if c.worker == ended.worker && c.overdue && c.start.Before(ended.start) {
			c.responseLost = true
			c.cancel()
		}
	}
}

// handleFailure handles a call without a response. Pieces may be executed twice,
// so all of them are queued again. After a time-out or a cancellation the
// endpoint may nevertheless hold the results, with handles that are unknown here,
// so their space counts as used until the retention time has passed.
func (b *Batcher) handleFailure(c *batchCall, err error, now time.Time) {
	kind := failure.KindOf(err)
	if kind == failure.Late {
		time.AfterFunc(b.retention(c.endpoint.Service), func() { b.resultsExpired(c.worker, c.reservedBytes) })
	} else {
		c.worker.space.Release(c.reservedBytes)
	}
	if !c.responseLost {
		c.worker.recordFailure(kind == failure.Refused, now)
	}
	if kind == failure.Refused && c.worker.calls+c.worker.overdue == 0 {
		b.scheduler.RecordResponse(c.endpoint.Service, true, now)
	}
	b.log.Info("stage call failed", "endpoint", c.endpoint.ID, "pieces", len(c.pieces), "lost", c.responseLost,
		"after", now.Sub(c.start).String(), "reason", err.Error())
	if kind == failure.Crashed {
		b.recordCrash(c, now)
	}
	for _, p := range c.pieces {
		b.scheduler.Requeue(p)
	}
}

// recordCrash records that the endpoint of a call crashed, for which each job with pieces in the
// call is a suspect. A job that was alone in the call is given up: it has most probably crashed
// the endpoint, and would crash the next one.
func (b *Batcher) recordCrash(c *batchCall, now time.Time) {
	jobs := make(map[*job.Job]bool)
	for _, p := range c.pieces {
		jobs[p.Job] = true
	}
	for j := range jobs {
		s := quarantine.Subject{Fingerprint: j.Fingerprint}
		b.quarantine.RecordLoss(quarantine.NewLoss(c.endpoint.Name(), s, true, true, now))
		e := b.jobs[j.ID]
		if e == nil || e.job != j {
			continue
		}
		wasSuspect := j.Suspect
		e.crashes++
		j.Suspect = j.Suspect || e.crashes >= suspectCrashes
		if len(jobs) == 1 && wasSuspect {
			refusal := fault.New(code.RequestHeld, "endpoints crashed while they executed its pieces")
			refusal.RetryAfter = crashRetryAfter
			b.abort(e, refusal)
		}
	}
}

// handleOutcome handles the outcome of one piece.
func (b *Batcher) handleOutcome(c *batchCall, p scheduler.Piece, o executor.Outcome, now time.Time) {
	size := p.Job.Stages[p.Stage].Bytes
	e := b.jobs[p.Job.ID]
	if o.Status == executor.Done {
		b.recordResult(c, e, p, job.Result{Handle: o.Handle, Endpoint: c.endpoint.Name(), Centre: c.endpoint.Centre, Bytes: size, Since: c.start})
		return
	}
	c.worker.space.Release(size)
	if e == nil || e.job != p.Job || p.Job.Ended || p.Job.Results[p.Stage][p.Index].Handle != "" {
		return // the job has ended, or another call executed the piece
	}
	b.log.Info("piece not made", "request", p.Job.Request, "stage", p.Stage, "piece", p.Index, "endpoint", c.endpoint.ID,
		"reason", o.Status.String())
	if o.Status == executor.Failed {
		e.failedPieces++
	}
	if e.failedPieces > maxFailedPieces || o.Status == executor.Expired && !now.Before(p.Job.Deadline) {
		b.abort(e, fault.New(code.NoTime, "a piece of stage %d was not made: %s", p.Stage, o.Status))
		return
	}
	switch o.Status {
	case executor.InputGone:
		b.restart(e)
	case executor.NoSpace:
		c.worker.recordFull(b.spaceOf(c.endpoint.Service), now)
		b.scheduler.Requeue(p)
	case executor.Expired, executor.Failed:
		b.scheduler.Requeue(p)
	default:
		panic("batcher: unexpected outcome of a piece: " + o.Status.String())
	}
}

// recordResult records the result of a piece, or frees it if it is not needed,
// and wakes the caller of Prepare when the job is finished.
func (b *Batcher) recordResult(c *batchCall, e *entry, p scheduler.Piece, result job.Result) {
	wanted, finished := b.scheduler.RecordResult(p, result)
	if !wanted {
		b.discard(result)
		return
	}
	if p.Job.Remaining[p.Stage] == 0 {
		_, far := p.Job.InputBytes(p.Stage)
		e.stageLog = append(e.stageLog, fmt.Sprintf("%s %s %s, %d bytes from afar", c.endpoint.Service,
			time.Since(e.start).Round(time.Millisecond), c.endpoint.ID, far))
	}
	b.freeConsumed(e)
	if finished {
		e.expires = time.Now().Add(max(b.retention(c.endpoint.Service), freeTimeout))
		b.log.Info("job done", "request", p.Job.Request, "took", time.Since(e.start).String(), "predicted", e.predicted.String(),
			"spare", time.Until(p.Job.Goal).String(), "faults", e.failedPieces, "stages", e.stageLog)
		e.finish(nil)
	}
}

// spaceOf returns how many bytes of results an endpoint of a service can hold;
// zero if the service is no longer in the catalog.
func (b *Batcher) spaceOf(service string) int64 {
	if s := b.catalog().Services[service]; s != nil && s.Batch != nil {
		return s.Batch.ResultBytes
	}
	return 0
}

// retention returns how long endpoints of a service hold results that are not
// freed; zero if the service is no longer in the catalog.
func (b *Batcher) retention(service string) time.Duration {
	if s := b.catalog().Services[service]; s != nil && s.Batch != nil {
		return s.Batch.ResultRetention
	}
	return 0
}

// checkOverdue handles a call that takes far longer than expected: it queues the
// pieces again and lets the endpoint take another call.
func (b *Batcher) checkOverdue(c *batchCall, now time.Time) {
	took := now.Sub(c.start)
	if c.overdue || took < time.Duration(overdueFactor*float64(c.expected))+overdueMargin {
		return
	}
	c.overdue = true
	c.worker.markOverdue(now)
	c.worker.recordDuration(took, c.expected, now)
	b.log.Info("stage call overdue", "endpoint", c.endpoint.ID, "pieces", len(c.pieces), "after", took.String(),
		"expected", c.expected.String())
	for _, p := range c.pieces {
		b.scheduler.Requeue(p)
	}
}
