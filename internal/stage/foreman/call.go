package foreman

// This file sends calls to endpoints and takes their outcomes.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/maker"
	"github.com/jacinthstile/jacinthstile/internal/stage/queue"
)

const (
	overdueTimes  = 2.0                    // times the expected duration after which pieces go to another endpoint as well
	overdueMargin = 150 * time.Millisecond // beyond that
	callLimit     = 8 * time.Second        // of one call
	// calmOverdue is how many calls of an endpoint may be overdue at once while
	// it gets the next one without a rest: their answers may be lost, or it may be
	// slow and make them wait.
	calmOverdue = 1
)

// running is one call under way.
type running struct {
	worker   *worker
	endpoint *fleet.Endpoint
	pieces   []queue.Piece
	start    time.Time
	expected time.Duration // at the usual speed
	bytes    int64
	overdue  bool // its pieces were queued once more, and the endpoint may get another call
	lost     bool // a call that began later has ended
	cancel   context.CancelFunc
}

// dispatch gives work to all endpoints that are free. Services that were
// surveyed at the same moment are not surveyed again.
func (f *Foreman) dispatch(now time.Time, surveyed map[string]survey) {
	c := f.catalog()
	if c == nil {
		return
	}
	for name, s := range c.Services {
		if s.Batch == nil || f.queue.Waiting(name) == 0 {
			continue
		}
		v, known := surveyed[name]
		if !known {
			v = f.survey(name, s.Batch, now)
		}
		for _, e := range v.idle {
			if f.queue.Waiting(name) == 0 || v.calls >= f.queue.Most(name) {
				break
			}
			if f.give(e, s.Batch, now) {
				v.calls++
			}
		}
	}
}

// give sends the next call to an endpoint, if the queue has one for it.
func (f *Foreman) give(e idle, b *catalog.Batch, now time.Time) bool {
	w := e.worker
	pieces := f.queue.Fill(queue.Worker{Service: e.Service, Centre: e.Centre, Room: w.room.Left(b.Room, now), Slow: e.slow}, now)
	if len(pieces) == 0 {
		return false
	}
	r := &running{
		worker: w, endpoint: e.Endpoint, pieces: pieces, start: now,
		expected: b.Call + time.Duration(len(pieces))*b.Item,
	}
	items := make([]maker.Item, len(pieces))
	for i, p := range pieces {
		items[i] = item(p, now)
		r.bytes += p.Job.Stages[p.Stage].Bytes
	}
	w.calls++
	w.room.Hold(r.bytes)
	f.running[r] = struct{}{}
	var ctx context.Context
	ctx, r.cancel = context.WithTimeout(context.Background(), callLimit)
	go f.call(ctx, r, items)
	return true
}

func item(p queue.Piece, now time.Time) maker.Item {
	it := maker.Item{ID: p.Job.Request, Stage: p.Stage, Piece: p.Index, Left: p.Job.Deadline.Sub(now)}
	if len(p.Job.Stages[p.Stage].After) == 0 {
		it.Key = p.Job.Key
		return it
	}
	it.Inputs = p.Job.Inputs(p.Stage)
	return it
}

func (f *Foreman) call(ctx context.Context, r *running, items []maker.Item) {
	defer r.cancel()
	answer, err := f.maker.Make(ctx, r.endpoint, items)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, r)
	if r.overdue {
		r.worker.overdue--
	} else {
		r.worker.calls--
	}
	if err != nil {
		f.failed(r, err, now)
	} else {
		r.worker.ended(now.Sub(r.start), r.expected, now)
		f.loseEarlier(r)
		f.queue.Answered(r.endpoint.Service, answer.Calls > r.worker.calls+r.worker.overdue, now)
		for i, p := range r.pieces {
			f.outcome(r, p, answer.Outcomes[i], now)
		}
	}
	f.dispatch(now, nil)
}

// loseEarlier gives up the overdue calls of an endpoint that began before one
// that has ended: their answers were lost.
func (f *Foreman) loseEarlier(ended *running) {
	for r := range f.running {
		if r.worker == ended.worker && r.overdue && r.start.Before(ended.start) {
			r.lost = true
			r.cancel()
		}
	}
}

// failed handles a call without an answer. Pieces may be made twice, so all of
// them are queued again. Results of a call whose answer is late or lost may lie
// at the endpoint until they end by themselves.
func (f *Foreman) failed(r *running, err error, now time.Time) {
	kind := failure.KindOf(err)
	if kind == failure.Late {
		time.AfterFunc(f.keep(r.endpoint.Service), func() { f.leave(r.worker, r.bytes) })
	} else {
		r.worker.room.Free(r.bytes)
	}
	if !r.lost {
		r.worker.failed(kind == failure.Refused, now)
	}
	if kind == failure.Refused && r.worker.calls+r.worker.overdue == 0 {
		f.queue.Answered(r.endpoint.Service, true, now)
	}
	f.log.Info("stage call failed", "endpoint", r.endpoint.ID, "pieces", len(r.pieces), "lost", r.lost,
		"after", now.Sub(r.start).String(), "reason", err.Error())
	for _, p := range r.pieces {
		f.queue.Again(p)
	}
}

// outcome handles the answer for one piece.
func (f *Foreman) outcome(r *running, p queue.Piece, o maker.Outcome, now time.Time) {
	size := p.Job.Stages[p.Stage].Bytes
	e := f.jobs[p.Job.ID]
	if o.Reason == maker.Made {
		f.made(r, e, p, job.Result{Handle: o.Handle, Maker: r.endpoint.Name(), Centre: r.endpoint.Centre, Bytes: size})
		return
	}
	r.worker.room.Free(size)
	if e == nil || e.job != p.Job || p.Job.Ended || p.Job.Made[p.Stage][p.Index].Handle != "" {
		return // nobody waits for it, or another call made it
	}
	f.log.Info("piece not made", "request", p.Job.Request, "stage", p.Stage, "piece", p.Index, "endpoint", r.endpoint.ID,
		"reason", o.Reason.String())
	if o.Reason == maker.Fault {
		e.faults++
	}
	if e.faults > mostFaults || o.Reason == maker.Late && !now.Before(p.Job.Deadline) {
		f.giveUp(e, fault.New(code.NoTime, "a piece of stage %d was not made: %s", p.Stage, o.Reason))
		return
	}
	switch o.Reason {
	case maker.Gone:
		f.restart(e)
	case maker.Room:
		r.worker.full(f.roomOf(r.endpoint.Service), now)
		f.queue.Again(p)
	case maker.Late, maker.Fault:
		f.queue.Again(p)
	default:
		panic("foreman: got reason " + o.Reason.String())
	}
}

func (f *Foreman) made(r *running, e *entry, p queue.Piece, result job.Result) {
	wanted, finished := f.queue.Made(p, result)
	if !wanted {
		f.discard(result)
		return
	}
	if p.Job.Open[p.Stage] == 0 {
		_, far := p.Job.Taken(p.Stage)
		e.ends = append(e.ends, fmt.Sprintf("%s %s %s, %d bytes from afar", r.endpoint.Service,
			time.Since(e.start).Round(time.Millisecond), r.endpoint.ID, far))
	}
	f.freeTaken(e)
	if finished {
		e.expires = time.Now().Add(max(f.keep(r.endpoint.Service), freeLimit))
		f.log.Info("job done", "request", p.Job.Request, "took", time.Since(e.start).String(), "predicted", e.takes.String(),
			"spare", time.Until(p.Job.Goal).String(), "faults", e.faults, "stages", e.ends)
		e.done <- nil
	}
}

// roomOf is how many bytes of results endpoints of a service hold.
func (f *Foreman) roomOf(service string) int64 {
	if s := f.catalog().Services[service]; s != nil && s.Batch != nil {
		return s.Batch.Room
	}
	return 0
}

// keep is how long endpoints of a service hold results.
func (f *Foreman) keep(service string) time.Duration {
	if s := f.catalog().Services[service]; s != nil && s.Batch != nil {
		return s.Batch.Keep
	}
	return 0
}

// lookAfter queues the pieces of a call once more that takes far longer than it
// should, and takes its endpoint for free.
func (f *Foreman) lookAfter(r *running, now time.Time) {
	took := now.Sub(r.start)
	if r.overdue || took < time.Duration(overdueTimes*float64(r.expected))+overdueMargin {
		return
	}
	r.overdue = true
	r.worker.overrun(now)
	r.worker.ended(took, r.expected, now)
	f.log.Info("stage call overdue", "endpoint", r.endpoint.ID, "pieces", len(r.pieces), "after", took.String(),
		"expected", r.expected.String())
	for _, p := range r.pieces {
		f.queue.Again(p)
	}
}
