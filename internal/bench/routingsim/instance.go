package routingsim

// This file defines instance, an entry instance that uses the daemon's admission
// and routing packages.

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
	maxBaselineAttempts = 3                      // attempts of a stage under a policy without admission
	maxAttempts         = 5                      // attempts of a stage under a policy with admission, if the retry budget allows them
	maxQueued           = 2000                   // requests in one queue of an instance
	hedgeRetryInterval  = 200 * time.Millisecond // between two attempts to hedge while all endpoints are at their limit
	localDelay          = 300 * time.Microsecond // one-way network delay within a data centre
)

// instance is an entry instance. It has its own endpoint statistics, retry budget
// and queues, and does not see the calls of other instances.
type instance struct {
	sim             *simulation
	centre          string
	stats           *endpointstats.Tracker
	picker          *picker.Picker
	retryBudget     *retry.Budget
	stageTimes      *servicetime.Estimator            // times of whole stages
	firstTokenTimes *servicetime.Estimator            // times until the first token of a stage
	queues          map[string]*queue.Queue[*request] // requests that wait for an endpoint, by role
	roles           []string                          // the keys of queues in the order of their first use, so that iteration is deterministic
}

// queue returns the queue of a role, which it creates if there is none.
func (in *instance) queue(role string) *queue.Queue[*request] {
	q := in.queues[role]
	if q == nil {
		q = queue.New[*request](maxQueued)
		in.queues[role] = q
		in.roles = append(in.roles, role)
	}
	return q
}

// receive starts a request, or refuses it if the policy has admission control and
// predicts that the request cannot meet its deadline.
func (in *instance) receive(r *request) {
	now := in.sim.loop.now
	if in.sim.policy.Admission {
		var wait time.Duration
		for i := range r.pipeline.Stages {
			wait += in.queue(r.pipeline.Stages[i].Role).PredictWait(r.account.Name, r.account.Weight)
		}
		if prediction := in.stageTimes.Predict(r.pipeline, 0, r.deadline.Sub(now), wait); !prediction.MeetsDeadline {
			r.tracef(now, "refused: need %s, wait %s", prediction.TotalTime, wait)
			in.finish(r, refused)
			return
		}
	}
	if !in.sim.noDeadlines {
		in.sim.loop.schedule(r.deadline.Sub(now), func() { in.expire(r) })
	}
	in.startStage(r)
}

// startStage starts the request's current stage.
func (in *instance) startStage(r *request) {
	r.stageStart = in.sim.loop.now
	r.attempts = 0
	r.tried = nil
	in.attemptStage(r)
}

// attemptStage sends an attempt of the current stage. If no endpoint can be used, it
// fails the request, unless all endpoints are at their limit and the policy has
// admission: then it queues the request.
func (in *instance) attemptStage(r *request) {
	now := in.sim.loop.now
	c := in.pick(r)
	switch {
	case c.Endpoint != nil:
		in.send(r, c)
	case c.Full && in.sim.policy.Admission:
		in.enqueue(r)
	default:
		r.tracef(now, "no endpoint: %s", c.Reason)
		in.finish(r, failed)
	}
}

func (in *instance) pick(r *request) picker.Choice { return in.pickExcluding(r, r.tried...) }

// pickExcluding picks an endpoint for the current stage, given the names of those
// that were tried already.
func (in *instance) pickExcluding(r *request, tried ...string) picker.Choice {
	stage := r.stage()
	q := picker.Query{Role: stage.Role, Model: stage.Model, FallbackServiceTime: stage.ExpectedTime.Duration(), Tried: tried, AllowTried: !stage.NonIdempotent, Now: in.sim.loop.now}
	if stage.Model != "" {
		q.Blocks = r.blocks
	}
	return in.picker.Pick(in.sim.table, q)
}

// enqueue queues a request until an endpoint of the stage's role has a free slot.
// It fails the request if the remaining stages can no longer meet the deadline.
func (in *instance) enqueue(r *request) {
	now := in.sim.loop.now
	latest := r.deadline.Add(-in.stageTimes.RemainingTime(r.pipeline, r.stageIndex))
	if latest.Before(now) {
		in.finish(r, failed)
		return
	}
	r.tracef(now, "waits for %s", r.stage().Role)
	r.queued = &queue.Item[*request]{Account: r.account.Name, Weight: r.account.Weight, LatestStart: latest, Value: r}
	if evicted := in.queue(r.stage().Role).Push(r.queued); evicted != nil {
		evicted.Value.tracef(now, "queue full")
		in.finish(evicted.Value, refused)
	}
}

// dispatchQueued sends the queued requests of a role for which an endpoint has a
// free slot. Requests of a model whose engines are all full do not block those of
// other models. If freed names an endpoint that just finished a call, requests whose
// prompt prefix it has cached are preferred.
func (in *instance) dispatchQueued(role, freed string) {
	q := in.queues[role]
	if q == nil || !in.sim.policy.Admission {
		return
	}
	now := in.sim.loop.now
	for _, item := range q.Expire(now) {
		item.Value.tracef(now, "expired in the queue")
		in.finish(item.Value, failed)
	}
	full := make(map[string]bool)
	for {
		dispatchable := func(r *request) bool { return !full[r.stage().Model] }
		item := q.PopBest(now, dispatchable, func(r *request) int { return in.cachedBlocks(r, freed) })
		if item == nil {
			return
		}
		r := item.Value
		choice := in.pick(r)
		if choice.Endpoint == nil {
			q.Return(item)
			full[r.stage().Model] = true
			continue
		}
		r.queued = nil
		in.send(r, choice)
	}
}

// cachedBlocks returns how many blocks of a request's prompt an endpoint is believed
// to have cached. It returns zero if the policy ignores caches.
func (in *instance) cachedBlocks(r *request, name string) int {
	if predicted, ok := in.sim.policy.Strategy.(strategy.Predicted); !ok || predicted.IgnorePrefixes {
		return 0
	}
	var matches [prefix.MaxMatches]prefix.Match
	n := in.stats.Holders(r.blocks, &matches)
	for _, match := range matches[:n] {
		if match.Name == name {
			return match.Blocks
		}
	}
	return 0
}

// send sends an attempt to the chosen endpoint. It panics if the endpoint has weight
// zero or is leaving, because the picker must not choose such an endpoint.
func (in *instance) send(r *request, c picker.Choice) {
	s := in.sim
	if !picker.Allowed(s.table, in.stats, c.Endpoint.Name) {
		panic("routingsim: got a choice that is not allowed")
	}
	r.attempts++
	if r.attempts == 1 {
		s.counters.firstAttempts++
		in.retryBudget.RecordFirstAttempt(s.retryShares)
	}
	ep := s.endpoints[c.Endpoint.Name]
	s.lastID++
	a := &attempt{id: s.lastID, request: r, stageIndex: r.stageIndex, endpoint: ep, sentAt: s.loop.now}
	a.networkDelay = localDelay + s.table.Centre(ep.Centre).OneWayDelay[in.centre].Duration()
	r.inFlight = append(r.inFlight, a)
	r.tracef(s.loop.now, "%s to %s (%s)", r.stage().Name, ep.Name, c.Reason)
	in.stats.Start(ep.Name, s.loop.now)
	s.loop.schedule(a.networkDelay, func() {
		isExtra := r.attempts > 1
		ep.receive(a)
		if a.delivered && isExtra {
			s.counters.extraAttempts++
		}
	})
	if s.policy.Admission && r.attempts == 1 && !r.stage().NonIdempotent {
		in.scheduleHedge(r, a, c.Load)
	}
}

// scheduleHedge schedules a second attempt, which is sent if the first one has
// yielded no token within the usual time.
func (in *instance) scheduleHedge(r *request, a *attempt, load float64) {
	mean, deviation := in.firstTokenTimes.StageTime(r.pipeline, r.stageIndex)
	slack := r.deadline.Sub(in.sim.loop.now) - 2*in.stageTimes.RemainingTime(r.pipeline, r.stageIndex)
	delay, ok := retry.HedgeDelay(mean, deviation, slack, in.sim.table.Policy.CostShare())
	if !ok {
		return
	}
	in.sim.loop.schedule(delay, func() { in.hedge(r, a, load) })
}

// hedge sends a second attempt to another endpoint if the first one is still waiting
// for its first token and the retry budget allows it.
func (in *instance) hedge(r *request, a *attempt, load float64) {
	if a.ended || a.firstToken > 0 || r.done || len(r.inFlight) != 1 {
		return
	}
	c := in.pickExcluding(r, a.endpoint.Name)
	if c.Load > 0 {
		load = c.Load
	}
	switch {
	case c.Full:
		in.sim.loop.schedule(hedgeRetryInterval, func() { in.hedge(r, a, load) })
	case c.Endpoint != nil && c.Endpoint.Name != a.endpoint.Name && in.retryBudget.AllowHedge(load):
		r.tracef(in.sim.loop.now, "hedge")
		in.sim.counters.hedges++
		r.tried = append(r.tried, a.endpoint.Name)
		in.send(r, c)
	}
}

// endAttempt records the end of an attempt, and cancels it at the endpoint unless it
// succeeded. The kind is zero for success.
func (in *instance) endAttempt(a *attempt, k failure.Kind) {
	now := in.sim.loop.now
	a.ended = true
	r := a.request
	r.inFlight = slices.DeleteFunc(r.inFlight, func(x *attempt) bool { return x == a })
	result := endpointstats.Result{Elapsed: now.Sub(a.sentAt), FirstToken: a.firstToken, Kind: k}
	if k == 0 && a.endpoint.prefixCache != nil {
		result.Blocks = r.blocks
	}
	in.stats.Done(a.endpoint.Name, result, now)
	if k != 0 {
		a.endpoint.cancel(a)
	}
}

// onSuccess handles the response of an attempt: it cancels the other attempts of the
// stage and starts the next stage or ends the request.
func (in *instance) onSuccess(a *attempt) {
	r := a.request
	stage := r.stage()
	now := in.sim.loop.now
	took := now.Sub(a.sentAt)
	in.endAttempt(a, 0)
	in.cancelAll(r)
	in.stageTimes.Observe(r.pipeline.Name, stage.Name, took)
	if a.firstToken == 0 {
		a.firstToken = took
	}
	in.firstTokenTimes.Observe(r.pipeline.Name, stage.Name, a.firstToken)
	r.tracef(now, "%s done by %s", stage.Name, a.endpoint.Name)
	if a.endpoint.prefixCache != nil && !now.Before(in.sim.faultTime()) && now.Before(in.sim.end) {
		in.sim.generated++
	}
	if r.stageIndex++; r.stageIndex == len(r.pipeline.Stages) {
		in.finish(r, answered)
	} else {
		in.startStage(r)
	}
	in.dispatchQueued(stage.Role, a.endpoint.Name)
}

// onFailure handles the failure of an attempt: it retries the stage or fails the
// request, unless another attempt is still in flight.
func (in *instance) onFailure(a *attempt, k failure.Kind) {
	r := a.request
	stage := r.stage()
	now := in.sim.loop.now
	in.endAttempt(a, k)
	r.tracef(now, "%s failed at %s: %s", stage.Name, a.endpoint.Name, k)
	if len(r.inFlight) == 0 && !r.done {
		r.tried = append(r.tried, a.endpoint.Name)
		if in.allowRetry(r, k) {
			in.attemptStage(r)
		} else {
			in.finish(r, failed)
		}
	}
	in.dispatchQueued(stage.Role, a.endpoint.Name)
}

// allowRetry reports whether the current stage may be tried again after a failure.
// A non-idempotent stage is repeated only if the call was never sent. Retries of calls
// that were never sent do not count against the retry budget.
func (in *instance) allowRetry(r *request, k failure.Kind) bool {
	if r.stage().NonIdempotent && k != failure.Unsent {
		return false
	}
	if !in.sim.policy.Admission {
		return r.attempts < maxBaselineAttempts
	}
	return r.attempts < maxAttempts && (k == failure.Unsent || in.retryBudget.AllowRetry())
}

// cancelAll cancels all attempts of a request that are in flight.
func (in *instance) cancelAll(r *request) {
	for _, a := range slices.Clone(r.inFlight) {
		in.endAttempt(a, failure.Late)
	}
}

// expire ends a request at its deadline unless it is done already.
func (in *instance) expire(r *request) {
	if r.done {
		return
	}
	r.tracef(in.sim.loop.now, "deadline")
	stage := r.stage()
	if r.queued != nil {
		in.queue(stage.Role).Remove(r.queued)
	}
	in.cancelAll(r)
	in.finish(r, late)
	in.dispatchQueued(stage.Role, "")
}

// finish records the outcome of a request.
func (in *instance) finish(r *request, o outcome) {
	r.done = true
	in.sim.counters.record(r, o, in.sim.loop.now)
}
