package scheduler

// This file keeps what admission knows of each kind of job: the time that its requests
// take after the stages, its demand, and the share of it that is to be admitted while
// services are short.

import (
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/allocation"
	"github.com/jacinthstile/jacinthstile/internal/admission/fairshare"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	kindGain = 0.02 // weight of one job in the moving mean of its kind, which then covers about one second of a kind with many jobs
	maxKinds = 64   // maximum number of kinds that are kept; a job of any further kind is judged by its own time alone
	// idleKind is how long a kind without jobs is kept. It spans several retries of refused callers.
	idleKind = 5 * time.Second
	// divideInterval is the time between two divisions of the services. It is short against
	// the time in which a burst fills the queues.
	divideInterval = 100 * time.Millisecond
	// rivalWindow is how long other kinds leave room after a refusal. It spans the arrivals of
	// several jobs.
	rivalWindow = time.Second
	// maxCredit bounds the jobs that a kind may be admitted ahead of its share.
	maxCredit = 2.0
	// Callers wait for at most the time left until their deadline divided by retryDivisor.
	retryDivisor = 3
	// minCapacity is the part of a service's capacity that is divided however much work waits.
	minCapacity = 0.2
)

// kind identifies jobs that admission treats alike.
type kind struct {
	priority int
	path     string // services of the stages, in order
}

func kindOf(j *job.Job) kind {
	var path strings.Builder
	for _, s := range j.Stages {
		path.WriteString(s.Service + " ")
	}
	return kind{priority: j.Priority, path: path.String()}
}

// kindState is what is known of one kind.
type kindState struct {
	priority int
	// firstEvent is the moving mean of the time from the end of the stages to the request's
	// first event. Admission uses it in place of the job's own time. Under overload the queue
	// grows until a job with less time than the rest of its kind is never admitted: with their
	// own times, the requests with the longest prompts would all be refused.
	firstEvent time.Duration
	demand     map[string]*rate // requested pieces, by service
	seen       time.Time        // arrival of the last job
	share      float64          // of its jobs that is to be admitted
	credit     float64          // jobs that it may be admitted ahead of its share
	refused    time.Time        // when a job was last refused that was within the share
	accounts   *fairshare.Ledger
}

// kinds holds the kinds of jobs.
type kinds struct {
	states  map[kind]*kindState
	divided time.Time // last division of the services
}

// record counts a job and returns its kind, or nil if no more kinds are kept. A caller
// that returns after a refusal adds no demand: it was counted on its first attempt.
func (k *kinds) record(j *job.Job, now time.Time) *kindState {
	name := kindOf(j)
	state := k.states[name]
	if state == nil {
		if len(k.states) >= maxKinds {
			return nil
		}
		state = &kindState{priority: j.Priority, firstEvent: j.FirstEvent, demand: make(map[string]*rate), share: 1, accounts: fairshare.New(deprivedPart)}
		k.states[name] = state
	}
	state.firstEvent += time.Duration(kindGain * float64(j.FirstEvent-state.firstEvent))
	state.seen = now
	if j.Returned {
		return state
	}
	for i, stage := range j.Stages {
		r := state.demand[stage.Service]
		if r == nil {
			r = new(rate)
			state.demand[stage.Service] = r
		}
		r.record(j.Remaining[i], now)
	}
	state.credit = min(maxCredit, state.credit+state.share)
	return state
}

// rival returns a kind that needs a service of the kind held and had a job refused within
// rivalWindow although it was within its share; nil if there is none. Without a rival nobody is
// served better if the kind is held to its share.
func (k *kinds) rival(held *kindState, now time.Time) *kindState {
	for _, other := range k.states {
		if other == held || now.Sub(other.refused) > rivalWindow {
			continue
		}
		for service := range other.demand {
			if held.demand[service] != nil {
				return other
			}
		}
	}
	return nil
}

// retryAfter returns when a refused caller should return that has the given time until its
// deadline. While the services are too short for all jobs of its kind, a return within the
// wait meets the same shortage; the latest time that callers honour gives it the best chance.
func (k *kindState) retryAfter(wait, deadline time.Duration) time.Duration {
	if k != nil && k.share < 1 {
		return max(shortWait, deadline/retryDivisor)
	}
	return max(shortWait, wait/2)
}

// divide divides the services between the kinds, if the last division is too old.
func (s *Scheduler) divide(now time.Time) {
	if now.Sub(s.kinds.divided) < divideInterval {
		return
	}
	s.kinds.divided = now
	index := make(map[string]int)
	for name, q := range s.queues {
		if q.capacity > 0 {
			index[name] = len(index)
		}
	}
	var states []*kindState
	var demands []allocation.Demand
	for name, state := range s.kinds.states {
		if now.Sub(state.seen) > idleKind {
			delete(s.kinds.states, name)
			continue
		}
		use := make([]float64, len(index))
		for service, r := range state.demand {
			if i, usable := index[service]; usable {
				use[i] = r.current(now) / s.queues[service].spareRate(now)
			}
		}
		states = append(states, state)
		demands = append(demands, allocation.Demand{Priority: state.priority, Use: use})
	}
	for i, share := range allocation.Shares(demands) {
		states[i].share = share
	}
}

// spareRate returns the pieces per second that the service can execute beside those that
// wait for longer than sharedWait. The queue thus corrects a capacity that was
// estimated too high.
func (q *serviceQueue) spareRate(now time.Time) float64 {
	late := q.wait(q.backlog.total, q.meanDelay, now) - sharedWait
	part := 1 - max(0, late.Seconds()/rateWindow.Seconds())
	return max(minCapacity, part) * q.throughput(now)
}
