package experiment

// This file defines entry, an entry instance that calls the decision packages.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/admission/servicetime"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
)

const (
	mostAttempts = 3                      // of a policy without admission
	moreAttempts = 5                      // within the retry budget
	mostWaiting  = 2000                   // calls in one queue of an entry instance
	hedgeAgain   = 200 * time.Millisecond // until a hedge that found no room is tried again
	nearDelay    = 300 * time.Microsecond
)

// entry is one entry instance with endpoint statistics of its own.
type entry struct {
	bench    *bench
	centre   string
	board    *endpointstats.Tracker
	picker   *picker.Picker
	budget   *retry.Budget
	schedule *servicetime.Estimator            // of whole stages
	firsts   *servicetime.Estimator            // until the first token of a stage
	queues   map[string]*queue.Queue[*request] // by role
	roles    []string                          // the keys of queues, in order
}

func (e *entry) queue(role string) *queue.Queue[*request] {
	q := e.queues[role]
	if q == nil {
		q = queue.New[*request](mostWaiting)
		e.queues[role] = q
		e.roles = append(e.roles, role)
	}
	return q
}

// arrive admits a request or refuses it.
func (e *entry) arrive(r *request) {
	now := e.bench.line.now
	if e.bench.policy.Admission {
		var wait time.Duration
		for i := range r.pipeline.Stages {
			wait += e.queue(r.pipeline.Stages[i].Role).PredictWait(r.account.Name, r.account.Weight)
		}
		if v := e.schedule.Predict(r.pipeline, 0, r.deadline.Sub(now), wait); !v.MeetsDeadline {
			r.note(now, "refused: need %s, wait %s", v.TotalTime, wait)
			e.finish(r, refused)
			return
		}
	}
	if !e.bench.endless {
		e.bench.line.after(r.deadline.Sub(now), func() { e.expire(r) })
	}
	e.enter(r)
}

// enter starts the stage that the request has come to.
func (e *entry) enter(r *request) {
	r.entered = e.bench.line.now
	r.attempts = 0
	r.tried = nil
	e.try(r)
}

// try sends the stage's call, or lets it wait where all endpoints are full.
func (e *entry) try(r *request) {
	now := e.bench.line.now
	c := e.pick(r)
	switch {
	case c.Endpoint != nil:
		e.send(r, c)
	case c.Full && e.bench.policy.Admission:
		e.wait(r)
	default:
		r.note(now, "no endpoint: %s", c.Reason)
		e.finish(r, failed)
	}
}

func (e *entry) pick(r *request) picker.Choice { return e.pickBut(r, r.tried...) }

func (e *entry) pickBut(r *request, tried ...string) picker.Choice {
	st := r.stage()
	q := picker.Query{Role: st.Role, Model: st.Model, FallbackServiceTime: st.ExpectedTime.Duration(), Tried: tried, AllowTried: !st.NonIdempotent, Now: e.bench.line.now}
	if st.Model != "" {
		q.Blocks = r.blocks
	}
	return e.picker.Pick(e.bench.table, q)
}

func (e *entry) wait(r *request) {
	now := e.bench.line.now
	latest := r.deadline.Add(-e.schedule.RemainingTime(r.pipeline, r.index))
	if latest.Before(now) {
		e.finish(r, failed)
		return
	}
	r.note(now, "waits for %s", r.stage().Role)
	r.item = &queue.Item[*request]{Account: r.account.Name, Weight: r.account.Weight, LatestStart: latest, Value: r}
	if out := e.queue(r.stage().Role).Push(r.item); out != nil {
		out.Value.note(now, "queue full")
		e.finish(out.Value, refused)
	}
}

// dispatch starts what can start of a role. A model whose engines are all full
// doesn't hold up the others. A freed endpoint prefers calls whose prompt it holds.
func (e *entry) dispatch(role, freed string) {
	q := e.queues[role]
	if q == nil || !e.bench.policy.Admission {
		return
	}
	now := e.bench.line.now
	for _, it := range q.Expire(now) {
		it.Value.note(now, "expired in the queue")
		e.finish(it.Value, failed)
	}
	full := make(map[string]bool)
	for {
		can := func(r *request) bool { return !full[r.stage().Model] }
		it := q.PopBest(now, can, func(r *request) int { return e.held(r, freed) })
		if it == nil {
			return
		}
		r := it.Value
		c := e.pick(r)
		if c.Endpoint == nil {
			q.Return(it)
			full[r.stage().Model] = true
			continue
		}
		r.item = nil
		e.send(r, c)
	}
}

// held returns how many blocks of a request's prompt an endpoint is believed to hold.
func (e *entry) held(r *request, name string) int {
	if own, ok := e.bench.policy.Rule.(strategy.Predicted); !ok || own.IgnorePrefixes {
		return 0
	}
	var held [prefix.MaxMatches]prefix.Match
	n := e.board.Holders(r.blocks, &held)
	for _, h := range held[:n] {
		if h.Name == name {
			return h.Blocks
		}
	}
	return 0
}

// send starts an attempt after the last check of weight and leaving.
func (e *entry) send(r *request, c picker.Choice) {
	b := e.bench
	if !picker.Allowed(b.table, e.board, c.Endpoint.Name) {
		panic("experiment: got a choice that is not allowed")
	}
	r.attempts++
	if r.attempts == 1 {
		b.tally.first++
		e.budget.RecordFirstAttempt(b.share)
	}
	w := b.workers[c.Endpoint.Name]
	b.attempts++
	a := &attempt{number: b.attempts, request: r, stage: r.index, worker: w, sent: b.line.now}
	a.far = nearDelay + b.table.Centre(w.Centre).OneWayDelay[e.centre].Duration()
	r.flying = append(r.flying, a)
	r.note(b.line.now, "%s to %s (%s)", r.stage().Name, w.Name, c.Reason)
	e.board.Start(w.Name, b.line.now)
	b.line.after(a.far, func() {
		extra := r.attempts > 1
		w.arrive(a)
		if a.reached && extra {
			b.tally.extra++
		}
	})
	if b.policy.Admission && r.attempts == 1 && !r.stage().NonIdempotent {
		e.hedgeLater(r, a, c.Load)
	}
}

// hedgeLater sends a second attempt when the first has given no token in the usual time.
func (e *entry) hedgeLater(r *request, a *attempt, load float64) {
	mean, deviation := e.firsts.StageTime(r.pipeline, r.index)
	spare := r.deadline.Sub(e.bench.line.now) - 2*e.schedule.RemainingTime(r.pipeline, r.index)
	delay, ok := retry.HedgeDelay(mean, deviation, spare, e.bench.table.Policy.CostShare())
	if !ok {
		return
	}
	e.bench.line.after(delay, func() { e.hedge(r, a, load) })
}

func (e *entry) hedge(r *request, a *attempt, load float64) {
	if a.ended || a.first > 0 || r.over || len(r.flying) != 1 {
		return
	}
	c := e.pickBut(r, a.worker.Name)
	if c.Load > 0 {
		load = c.Load
	}
	switch {
	case c.Full:
		e.bench.line.after(hedgeAgain, func() { e.hedge(r, a, load) })
	case c.Endpoint != nil && c.Endpoint.Name != a.worker.Name && e.budget.AllowHedge(load):
		r.note(e.bench.line.now, "hedge")
		e.bench.tally.hedges++
		r.tried = append(r.tried, a.worker.Name)
		e.send(r, c)
	}
}

// done ends an attempt and frees its place.
func (e *entry) done(a *attempt, k failure.Kind) {
	now := e.bench.line.now
	a.ended = true
	r := a.request
	r.flying = slices.DeleteFunc(r.flying, func(x *attempt) bool { return x == a })
	res := endpointstats.Result{Took: now.Sub(a.sent), FirstToken: a.first, Kind: k}
	if k == 0 && a.worker.cache != nil {
		res.Blocks = r.blocks
	}
	e.board.Done(a.worker.Name, res, now)
	if k != 0 {
		a.worker.cancel(a)
	}
}

func (e *entry) succeeded(a *attempt) {
	r := a.request
	st := r.stage()
	now := e.bench.line.now
	took := now.Sub(a.sent)
	e.done(a, 0)
	e.cancelAll(r)
	e.schedule.Observe(r.pipeline.Name, st.Name, took)
	if a.first == 0 {
		a.first = took
	}
	e.firsts.Observe(r.pipeline.Name, st.Name, a.first)
	r.note(now, "%s done by %s", st.Name, a.worker.Name)
	if a.worker.cache != nil && !now.Before(e.bench.faultAt()) && now.Before(e.bench.end) {
		e.bench.made++
	}
	if r.index++; r.index == len(r.pipeline.Stages) {
		e.finish(r, answered)
	} else {
		e.enter(r)
	}
	e.dispatch(st.Role, a.worker.Name)
}

func (e *entry) failed(a *attempt, k failure.Kind) {
	r := a.request
	st := r.stage()
	now := e.bench.line.now
	e.done(a, k)
	r.note(now, "%s failed at %s: %s", st.Name, a.worker.Name, k)
	if len(r.flying) == 0 && !r.over {
		r.tried = append(r.tried, a.worker.Name)
		if e.mayRetry(r, k) {
			e.try(r)
		} else {
			e.finish(r, failed)
		}
	}
	e.dispatch(st.Role, a.worker.Name)
}

func (e *entry) mayRetry(r *request, k failure.Kind) bool {
	if r.stage().NonIdempotent && k != failure.Unsent {
		return false
	}
	if !e.bench.policy.Admission {
		return r.attempts < mostAttempts
	}
	return r.attempts < moreAttempts && (k == failure.Unsent || e.budget.AllowRetry())
}

func (e *entry) cancelAll(r *request) {
	for _, a := range slices.Clone(r.flying) {
		e.done(a, failure.Late)
	}
}

// expire ends a request at its deadline.
func (e *entry) expire(r *request) {
	if r.over {
		return
	}
	r.note(e.bench.line.now, "deadline")
	st := r.stage()
	if r.item != nil {
		e.queue(st.Role).Remove(r.item)
	}
	e.cancelAll(r)
	e.finish(r, late)
	e.dispatch(st.Role, "")
}

func (e *entry) finish(r *request, o outcome) {
	r.over = true
	e.bench.tally.count(r, o, e.bench.line.now)
}
