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

	// sharedWait is the wait from which a kind is held to its share of a service. Shorter
	// queues leave endpoints idle between calls.
	sharedWait = 150 * time.Millisecond

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
	// Share means that the job was refused since its kind has had its share of a service that
	// is short, and others have not.
	Share
	// AccountShare means that the job was refused since its client account has had its share of
	// what is admitted of the job's kind, and others have not.
	AccountShare
	// Early means that the job was refused since its caller came back before the time that it was
	// told, and other jobs wait.
	Early
	// NoEndpoint means that the job was refused since a stage has no usable endpoint.
	NoEndpoint
)

var reasonTexts = [...]string{InTime: "in time", SpareCapacity: "spare capacity", TooLate: "too late", Share: "share used up", AccountShare: "share of the account used up", Early: "too early", NoEndpoint: "no endpoint"}

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
	QueueWait  time.Duration // the same for a job that is taken last
	Share      float64       // share of the jobs of its kind that the services allow
	Rival      int           // priority of the jobs for which a job was refused with the reason Share; -1 for none
	Account    string        // client account for which a job was refused with the reason AccountShare
	exceeded   bool          // whether the account has had its share, and another one has not
	RetryAfter time.Duration // delay after which a refused caller should retry; zero if admitted
}

// CheckAdmission predicts when the stages of a job would end if it were added
// now, and decides whether to admit it. The job counts towards the demand and the
// admission shares of its services, but it is not added: the caller calls Add.
func (s *Scheduler) CheckAdmission(j *job.Job, now time.Time) Decision {
	d, bottleneck := s.predict(j, now)
	switch {
	case d.Reason == NoEndpoint:
		return d
	case bottleneck == nil:
		return Decision{Admit: true, Reason: InTime} // the job has no pieces
	}
	d.Predicted = time.Duration(predictionMargin * float64(d.Predicted))
	if d.QueueWait > 0 && now.Before(j.Earliest) {
		d.Reason, d.Share, d.Rival, d.RetryAfter = Early, 1, -1, j.Earliest.Sub(now)
		return d
	}
	firstEvent := j.FirstEvent
	k := s.kinds.record(j, now)
	s.divide(now)
	d.Share, d.Rival = 1, -1
	if k != nil {
		firstEvent, d.Share = k.firstEvent, k.share
	}
	left := j.Goal.Add(j.FirstEvent - firstEvent).Sub(now)
	d.decide(left, j.Deadline.Sub(now), bottleneck.admissions.reserve(j.Priority, now))
	if k != nil {
		s.holdAccount(k, j, &d, left, now)
		s.holdToShare(k, &d, now)
		s.countAccount(k, j, &d, now)
	}
	if !d.Admit {
		d.RetryAfter = k.retryAfter(d.Wait, j.Deadline.Sub(now))
	}
	for i, stage := range j.Stages {
		if q := s.queueFor(stage.Service); j.Remaining[i] > 0 {
			q.admissions.record(j.Priority, !d.Admit && q == bottleneck, now)
			q.contention.demand.record(j.Remaining[i], now)
		}
	}
	return d
}

// holdToShare refuses a job of a kind that has had its share while a rival has not.
func (s *Scheduler) holdToShare(k *kindState, d *Decision, now time.Time) {
	needed := 1.0
	if d.exceeded {
		needed = maxCredit // the others come first
	}
	within := k.credit >= needed
	switch {
	case d.Reason == AccountShare: // other accounts of the kind get the room
	case !d.Admit && within:
		k.refused = now
	case d.Admit && within:
		k.credit--
	case d.Admit && d.Wait > sharedWait:
		if rival := s.kinds.rival(k, now); rival != nil {
			d.Admit, d.Reason, d.Rival = false, Share, rival.priority
		}
	}
}

// predict returns how long the stages of a job would take, and the service queue
// in which it would wait longest. The queue is nil if a stage has no endpoint or
// the job has no open piece.
func (s *Scheduler) predict(j *job.Job, now time.Time) (d Decision, bottleneck *serviceQueue) {
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
			ahead := q.backlog.ahead(s.due(j, i, now).Add(q.typicalCallTime()), now)
			wait := q.wait(ahead, ends[i], now)
			q.meanDelay += time.Duration(kindGain * float64(ends[i]-q.meanDelay))
			d.QueueWait = max(d.QueueWait, q.wait(q.backlog.total, ends[i], now))
			if bottleneck == nil || wait > d.Wait {
				d.Wait, bottleneck = wait, q
			}
			ends[i] += wait + q.workerDelay() + q.callTimeWith(j.Remaining[i], q.backlog.total)
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
	case d.Share == 1 && d.QueueWait <= shortWait && d.Predicted <= deadline:
		d.Admit, d.Reason = true, SpareCapacity
	default:
		d.Reason = TooLate
	}
}

// wait returns how long a piece that arrives after the given delay waits behind the given
// number of pieces.
func (q *serviceQueue) wait(ahead int, delay time.Duration, now time.Time) time.Duration {
	return max(0, time.Duration(float64(ahead)/q.throughput(now)*float64(time.Second))-delay)
}

// callTimeWith returns how long a call takes that holds the given number of a
// job's pieces and one worker's share of the pieces ahead of them.
func (q *serviceQueue) callTimeWith(own, ahead int) time.Duration {
	n := min(q.batch.MaxPieces, own+int(float64(ahead)/q.capacity))
	return q.batch.CallOverhead + time.Duration(n)*q.batch.PieceTime
}
