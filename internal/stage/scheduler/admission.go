package scheduler

// This file decides on arrival whether a job is admitted.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	// shortWait is the longest wait at which a service counts as having spare
	// capacity: a job that is late anyway then delays no other job. It is also the
	// shortest time after which a refused caller is told to retry.
	shortWait = 60 * time.Millisecond

	// predictionMargin multiplies predicted durations. The median job at the
	// admission limit took 1.05 to 1.09 times the prediction, and a job that ends
	// late wastes the endpoint time it has used.
	predictionMargin = 1.08

	// maxReserve is the greatest share of a job's time left that is reserved for
	// jobs of other priorities that were admitted less often.
	maxReserve = 0.3
	// priorityStep is by how much the share of admitted jobs falls from one priority
	// to the next less urgent one if not all jobs can be admitted.
	priorityStep = 0.04
	// admissionGain is the weight of one job in the moving share of admitted jobs:
	// the average covers one or two seconds of a busy service.
	admissionGain = 0.01
	maxPriorities = 100 // maximum number of priorities that are tracked for each service
	// reserveWindow is how long time stays reserved for a priority after the arrival
	// of its last job. It spans several retries of refused callers.
	reserveWindow = 5 * time.Second
)

// Reason is the reason of an admission decision.
type Reason int

const (
	// InTime means that the job was admitted and should meet its goal.
	InTime Reason = iota + 1
	// SpareCapacity means that the job was admitted although it should miss its goal,
	// since it should meet its deadline and delays no other job.
	SpareCapacity
	// TooLate means that the job was refused: with the pieces queued ahead of it, it
	// should miss its goal.
	TooLate
	// NoEndpoint means that the job was refused since a stage has no usable endpoint.
	NoEndpoint
)

var reasonTexts = [...]string{InTime: "in time", SpareCapacity: "spare capacity", TooLate: "too late", NoEndpoint: "no endpoint"}

// String returns the text used in logs and in responses to refused callers.
func (r Reason) String() string {
	if r < InTime || r > NoEndpoint {
		return fmt.Sprintf("ground(%d)", int(r))
	}
	return reasonTexts[r]
}

// admissionRates holds the moving share of jobs that a service did not cause to
// be refused, by priority.
type admissionRates struct {
	rates []priorityRate // the most urgent priority first
}

type priorityRate struct {
	priority int
	share    float64
	seen     time.Time // arrival of the last job of the priority
}

// record records a job, and whether it was refused because of this service. A
// priority beyond maxPriorities is not tracked.
func (a *admissionRates) record(priority int, refused bool, now time.Time) {
	i, known := slices.BinarySearchFunc(a.rates, priority, func(r priorityRate, priority int) int { return cmp.Compare(r.priority, priority) })
	if !known {
		if len(a.rates) >= maxPriorities {
			return
		}
		a.rates = slices.Insert(a.rates, i, priorityRate{priority: priority, share: 1})
	}
	value := 1.0
	if refused {
		value = 0
	}
	a.rates[i].share += admissionGain * (value - a.rates[i].share)
	a.rates[i].seen = now
}

// reserve returns the share of its time left that a job of a priority leaves to
// other priorities. This is the amount by which its priority is admitted too often
// compared with another one that was seen within reserveWindow, at most maxReserve.
// Compared with a more urgent priority, the share of admitted jobs should be lower
// by priorityStep for each tracked priority from one to the other.
func (a *admissionRates) reserve(priority int, now time.Time) float64 {
	own := slices.IndexFunc(a.rates, func(r priorityRate) bool { return r.priority == priority })
	if own < 0 {
		return 0
	}
	worst := 0.0
	for i, other := range a.rates {
		if now.Sub(other.seen) <= reserveWindow {
			worst = max(worst, a.rates[own].share-other.share+priorityStep*float64(own-i))
		}
	}
	return min(maxReserve, worst)
}

// Decision is the outcome of an admission check.
type Decision struct {
	Admit      bool
	Reason     Reason
	Predicted  time.Duration // predicted time until all stages end
	Wait       time.Duration // longest predicted wait in the queue of one service
	RetryAfter time.Duration // delay after which a refused caller should retry; zero if admitted
}

// CheckAdmission predicts when the stages of a job would end if it were added
// now, and decides whether to admit it. The job counts towards the demand and the
// admission shares of its services, but it is not added: the caller calls Add.
func (s *Scheduler) CheckAdmission(j *job.Job, now time.Time) Decision {
	d, bottleneck := s.predict(j)
	switch {
	case d.Reason == NoEndpoint:
		return d
	case bottleneck == nil:
		return Decision{Admit: true, Reason: InTime} // the job has no pieces
	}
	d.Predicted = time.Duration(predictionMargin * float64(d.Predicted))
	left := j.Goal.Add(j.FirstEvent - s.kindMeans.record(j)).Sub(now)
	d.decide(left, j.Deadline.Sub(now), bottleneck.admissions.reserve(j.Priority, now))
	for i, stage := range j.Stages {
		if q := s.queueFor(stage.Service); j.Remaining[i] > 0 {
			q.admissions.record(j.Priority, !d.Admit && q == bottleneck, now)
			q.contention.recordDemand(j.Remaining[i], now)
		}
	}
	return d
}

// predict returns how long the stages of a job would take, and the service queue
// in which it would wait longest. The queue is nil if a stage has no endpoint or
// the job has no open piece.
func (s *Scheduler) predict(j *job.Job) (d Decision, bottleneck *serviceQueue) {
	ends := make([]time.Duration, len(j.Stages))
	for i, stage := range j.Stages {
		for _, k := range stage.After {
			ends[i] = max(ends[i], ends[k])
		}
		if j.Remaining[i] > 0 {
			q := s.queueFor(stage.Service)
			if q.capacity == 0 {
				return Decision{Reason: NoEndpoint, RetryAfter: shortWait}, nil
			}
			wait := q.predictWait(ends[i])
			if bottleneck == nil || wait > d.Wait {
				d.Wait, bottleneck = wait, q
			}
			ends[i] += wait + q.workerDelay() + q.callTimeWith(j.Remaining[i])
		}
		d.Predicted = max(d.Predicted, ends[i])
	}
	return d, bottleneck
}

// decide completes the decision for a job that should end within goal and must
// end within deadline, both counted from now. The share reserve of the time until
// the goal is left to other priorities, unless the predicted wait is short.
func (d *Decision) decide(goal, deadline time.Duration, reserve float64) {
	short := d.Wait <= shortWait
	switch {
	case d.Predicted <= time.Duration((1-reserve)*float64(goal)), short && d.Predicted <= goal:
		d.Admit, d.Reason = true, InTime
	case short && d.Predicted <= deadline:
		d.Admit, d.Reason = true, SpareCapacity
	default:
		d.Reason = TooLate
		d.RetryAfter = max(shortWait, d.Wait/2)
	}
}

// predictWait returns how long a piece that arrives after the given delay waits
// behind the pieces already known.
func (q *serviceQueue) predictWait(delay time.Duration) time.Duration {
	perPiece := float64(q.fullCallTime()) / (float64(q.batch.MaxPieces) * q.capacity)
	return max(0, time.Duration(float64(q.waiting+q.blocked)*perPiece)-delay)
}

// callTimeWith returns how long a call takes that holds the given number of a
// job's pieces and one worker's share of the pieces already known.
func (q *serviceQueue) callTimeWith(own int) time.Duration {
	n := min(q.batch.MaxPieces, own+int(float64(q.waiting+q.blocked)/q.capacity))
	return q.batch.CallOverhead + time.Duration(n)*q.batch.PieceTime
}
