// Package scheduler admits the stage work of requests and chooses the pieces of
// each call to a stage endpoint.
//
// It is made for many small pieces and few endpoints that work on one call at a
// time, where a call costs far more than a piece in it. A piece is therefore not
// bound to an endpoint until one is free, and the next call takes the waiting
// pieces with the least slack, as many as it can hold. Slack is the time left
// until the job's goal after the call and all later stages. Jobs that can no
// longer meet their goal are served last. A job is refused on arrival if the
// pieces ahead of it leave it too little time.
//
// A Scheduler reads no clock, does no I/O and does no locking: its caller passes
// the time and serializes all calls.
package scheduler

// This file defines Scheduler and the life cycle of a job in it.

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// Scheduler holds the waiting pieces of all services.
type Scheduler struct {
	queues map[string]*serviceQueue // by service
	kinds  kinds
}

// Piece identifies one piece of a job.
type Piece struct {
	Job   *job.Job
	Stage int
	Index int
}

// serviceQueue holds the waiting pieces of one service and its capacity.
type serviceQueue struct {
	batch          catalog.Batch
	capacity       float64            // calls that the usable endpoints can work on at once, at most maxCalls; a slow endpoint counts for less
	centreCapacity map[string]float64 // capacity by data centre
	maxCalls       int                // limit of concurrent calls
	groups         []*group
	buffer         candidateQueue // kept for the next call of candidates
	waiting        int            // pieces in groups
	backlog        backlog        // of the pieces in groups, and of those of admitted jobs whose earlier stages are not done
	meanBatch      float64        // moving mean of the pieces per call
	taken          rate           // pieces sent in calls
	spaceRate      float64        // pieces a second for whose results there is space; infinity if not known
	overdueSince   time.Time      // since when a call or more of pieces is overdue; zero if less is
	meanDelay      time.Duration  // moving mean of the time from the arrival of a job until its pieces are queued
	admissions     admissionRates
	contention     contention
}

// group holds the waiting pieces of one stage of one job.
type group struct {
	job         *job.Job
	stage       int
	pieces      []int
	inputCentre string          // preferred data centre, usually that of its inputs; empty for none
	queues      []*serviceQueue // of the job's stages
}

// started reports whether pieces of the stage were taken before.
func (g *group) started() bool { return len(g.pieces) < g.job.Pieces[g.stage] }

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{queues: make(map[string]*serviceQueue), kinds: kinds{states: make(map[kind]*kindState)}}
}

// UpdateService sets the batch parameters and the capacity of a service. The map
// centres holds, by data centre, the number of calls that the usable endpoints can
// work on at once; an endpoint that takes twice as long as usual counts for half
// a call. While other instances use the endpoints as well, the capacity is limited
// to MaxCalls.
func (s *Scheduler) UpdateService(name string, b catalog.Batch, centres map[string]float64, now time.Time) {
	q := s.queueFor(name)
	q.batch = b
	total := 0.0
	for _, n := range centres {
		total += n
	}
	q.maxCalls = q.callLimit(now)
	q.capacity = min(total, float64(q.maxCalls))
	q.updateOverdue(now)
	clear(q.centreCapacity)
	for centre, n := range centres {
		if n > 0 {
			q.centreCapacity[centre] = n * q.capacity / total
		}
	}
}

// LimitRate sets the pieces a second for whose results the endpoints of a service have space.
func (s *Scheduler) LimitRate(service string, perSecond float64) {
	s.queueFor(service).spaceRate = perSecond
}

// Rate returns the pieces a second that a service is taken to execute.
func (s *Scheduler) Rate(service string, now time.Time) float64 {
	return s.queueFor(service).throughput(now)
}

// queueFor returns the queue of a service, and creates it if necessary.
func (s *Scheduler) queueFor(service string) *serviceQueue {
	q := s.queues[service]
	if q == nil {
		q = &serviceQueue{backlog: newBacklog(), spaceRate: math.Inf(1), centreCapacity: make(map[string]float64)}
		s.queues[service] = q
	}
	return q
}

// Waiting returns the number of pieces that wait for a worker of a service.
func (s *Scheduler) Waiting(service string) int { return s.queueFor(service).waiting }

// Add adds an admitted job and queues the pieces of its stages that are ready.
// A stage without pieces counts as done.
func (s *Scheduler) Add(j *job.Job, now time.Time) {
	for i, stage := range j.Stages {
		j.Due[i] = s.due(j, i, now)
		s.queueFor(stage.Service).backlog.add(j.Due[i], j.Remaining[i])
	}
	s.enqueueReady(j)
}

// enqueueReady queues the stages that have become ready.
func (s *Scheduler) enqueueReady(j *job.Job) {
	for i := range j.Stages {
		if j.Queued[i] || j.Remaining[i] == 0 || !j.Ready(i) {
			continue
		}
		j.Queued[i] = true
		pieces := make([]int, 0, j.Remaining[i])
		for p, r := range j.Results[i] {
			if r.Handle == "" {
				pieces = append(pieces, p)
			}
		}
		s.enqueue(j, i, pieces)
	}
}

func (s *Scheduler) enqueue(j *job.Job, stage int, pieces []int) {
	q := s.queueFor(j.Stages[stage].Service)
	q.waiting += len(pieces)
	if g := q.group(j, stage); g != nil {
		g.pieces = append(g.pieces, pieces...)
		return
	}
	q.groups = append(q.groups, &group{job: j, stage: stage, pieces: pieces, inputCentre: j.InputCentre(stage), queues: s.queuesOf(j)})
}

// RecordResult records the result of a piece. It reports whether the result is
// wanted, and whether it completes the job. A result is not wanted if the job has
// ended or another call executed the piece earlier.
func (s *Scheduler) RecordResult(p Piece, r job.Result) (wanted, finished bool) {
	j := p.Job
	if j.Ended || j.Results[p.Stage][p.Index].Handle != "" {
		return false, false
	}
	j.Results[p.Stage][p.Index] = r
	j.Remaining[p.Stage]--
	s.dequeue(p)
	if j.Finished() {
		j.Ended = true
		return true, true
	}
	if j.Remaining[p.Stage] == 0 {
		s.enqueueReady(j)
	}
	return true, false
}

// dequeue removes a piece that had been queued again and was executed by its
// first call after all.
func (s *Scheduler) dequeue(p Piece) {
	q := s.queueFor(p.Job.Stages[p.Stage].Service)
	g := q.group(p.Job, p.Stage)
	if g == nil {
		return
	}
	if i := slices.Index(g.pieces, p.Index); i >= 0 {
		g.pieces = slices.Delete(g.pieces, i, i+1)
		q.waiting--
		q.backlog.add(p.Job.Due[p.Stage], -1)
		q.dropEmptyGroups()
	}
}

// Requeue queues a piece again that a call did not execute, or not in time. It
// does nothing if the job has ended, or if the piece has a result, is queued already
// or waits for an earlier stage whose results were lost.
func (s *Scheduler) Requeue(p Piece) {
	if p.Job.Ended || !p.Job.Queued[p.Stage] || p.Job.Results[p.Stage][p.Index].Handle != "" {
		return
	}
	q := s.queueFor(p.Job.Stages[p.Stage].Service)
	if g := q.group(p.Job, p.Stage); g != nil && slices.Contains(g.pieces, p.Index) {
		return
	}
	q.backlog.add(p.Job.Due[p.Stage], 1)
	s.enqueue(p.Job, p.Stage, []int{p.Index})
}

// InvalidateResults removes the results of a job for which lost returns true and
// queues the job again for the pieces without a result. It reports whether there
// was such a result.
func (s *Scheduler) InvalidateResults(j *job.Job, lost func(job.Result) bool, now time.Time) bool {
	found := false
	for i := range j.Stages {
		for p, r := range j.Results[i] {
			if r.Handle == "" || !lost(r) {
				continue
			}
			found = true
			j.Results[i][p] = job.Result{}
			j.Remaining[i]++
		}
	}
	if !found {
		return false
	}
	s.restart(j, now)
	return true
}

// restart queues a job again from its first stage that has open pieces.
func (s *Scheduler) restart(j *job.Job, now time.Time) {
	s.remove(j)
	j.Ended = false
	for i := range j.Stages {
		j.Queued[i] = false
	}
	s.Add(j, now)
}

// Remove removes all waiting pieces of a job and ends it.
func (s *Scheduler) Remove(j *job.Job) {
	s.remove(j)
	j.Ended = true
}

func (s *Scheduler) remove(j *job.Job) {
	for i, stage := range j.Stages {
		q := s.queueFor(stage.Service)
		if !j.Queued[i] {
			q.backlog.add(j.Due[i], -j.Remaining[i])
			continue
		}
		if g := q.group(j, i); g != nil {
			q.waiting -= len(g.pieces)
			q.backlog.add(j.Due[i], -len(g.pieces))
			g.pieces = nil
			q.dropEmptyGroups()
		}
	}
}

// group returns the group of a stage of a job, or nil if none of its pieces wait.
func (q *serviceQueue) group(j *job.Job, stage int) *group {
	i := slices.IndexFunc(q.groups, func(g *group) bool { return g.job == j && g.stage == stage })
	if i < 0 {
		return nil
	}
	return q.groups[i]
}

func (q *serviceQueue) dropEmptyGroups() {
	q.groups = slices.DeleteFunc(q.groups, func(g *group) bool { return len(g.pieces) == 0 })
}

// Needs reports whether a job has pieces for a service that no call has taken yet.
func (s *Scheduler) Needs(j *job.Job, service string) bool {
	for i, stage := range j.Stages {
		if stage.Service == service && j.Remaining[i] > 0 && (!j.Queued[i] || s.queueFor(service).group(j, i) != nil) {
			return true
		}
	}
	return false
}

// Expired returns the jobs with waiting pieces whose deadline has passed.
func (s *Scheduler) Expired(now time.Time) []*job.Job {
	var list []*job.Job
	for _, q := range s.queues {
		for _, g := range q.groups {
			if !now.Before(g.job.Deadline) && !slices.Contains(list, g.job) {
				list = append(list, g.job)
			}
		}
	}
	return list
}
