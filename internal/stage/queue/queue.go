// Package queue decides which pieces of stages are made next, and by whom.
//
// It answers the load of many small pieces before few endpoints that work on
// one call at a time, where a call costs far more than a piece in it: pieces
// are not bound to an endpoint before one is free, and the next call takes the
// most urgent pieces that wait, as many as it can hold. Urgent is what has the
// least time to spare over the whole chain of its stages; what cannot be on
// time any more comes last. Work is refused on arrival where the pieces ahead
// of it leave it no time.
//
// A Queue has no clock and does no input or output. Its caller holds the lock.
package queue

// This file defines Queue and how jobs pass through it.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// Queue holds the pieces that wait, by service.
type Queue struct {
	lines map[string]*line
	usual usual
}

// Piece is one piece of a job.
type Piece struct {
	Job   *job.Job
	Stage int
	Index int
}

// line is what waits for one service.
type line struct {
	batch   catalog.Batch
	workers float64            // calls that the endpoints can work on at once; one that is slow counts for less
	centres map[string]float64 // the same by data centre
	calls   int                // that should be under way at once at most
	groups  []*group
	waiting int     // pieces in groups
	coming  int     // pieces of admitted jobs whose earlier stages are not made
	batched float64 // moving mean of the pieces in a call
	taken   taken
	crowd   crowd
}

// group is the pieces of one stage of one job that wait.
type group struct {
	job    *job.Job
	stage  int
	pieces []int
	home   string // data centre where its inputs lie; empty for none
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{lines: make(map[string]*line), usual: usual{after: make(map[kind]time.Duration)}}
}

// Service sets what is known of a service: how its endpoints work, and how many
// calls the usable ones can work on at once in each data centre, where one that
// takes twice as long as usual counts for half a call. While other instances use
// them as well only a part of them is reckoned with.
func (q *Queue) Service(name string, b catalog.Batch, centres map[string]float64, now time.Time) {
	l := q.line(name)
	l.batch = b
	all := 0.0
	for _, n := range centres {
		all += n
	}
	l.calls = l.most(now)
	l.workers = min(all, float64(l.calls))
	l.centres = make(map[string]float64, len(centres))
	for centre, n := range centres {
		if n > 0 {
			l.centres[centre] = n * l.workers / all
		}
	}
}

func (q *Queue) line(name string) *line {
	l := q.lines[name]
	if l == nil {
		l = new(line)
		q.lines[name] = l
	}
	return l
}

// Waiting returns how many pieces wait for a service.
func (q *Queue) Waiting(service string) int { return q.line(service).waiting }

// Add queues the first pieces of a job. Stages without pieces are passed over.
func (q *Queue) Add(j *job.Job) {
	for i, s := range j.Stages {
		q.line(s.Service).coming += j.Open[i]
	}
	q.advance(j)
}

// advance queues the stages that have become ready.
func (q *Queue) advance(j *job.Job) {
	for i := range j.Stages {
		if j.Started[i] || j.Open[i] == 0 || !j.Ready(i) {
			continue
		}
		j.Started[i] = true
		pieces := make([]int, 0, j.Open[i])
		for p, r := range j.Made[i] {
			if r.Handle == "" {
				pieces = append(pieces, p)
			}
		}
		q.line(j.Stages[i].Service).coming -= len(pieces)
		q.wait(j, i, pieces)
	}
}

func (q *Queue) wait(j *job.Job, stage int, pieces []int) {
	l := q.line(j.Stages[stage].Service)
	l.waiting += len(pieces)
	if g := l.group(j, stage); g != nil {
		g.pieces = append(g.pieces, pieces...)
		return
	}
	l.groups = append(l.groups, &group{job: j, stage: stage, pieces: pieces, home: j.Home(stage)})
}

// Made records a result. It reports whether the result is wanted, which it is
// not where the job has ended or another call was faster, and whether the job
// is finished by it.
func (q *Queue) Made(p Piece, r job.Result) (wanted, finished bool) {
	j := p.Job
	if j.Ended || j.Made[p.Stage][p.Index].Handle != "" {
		return false, false
	}
	j.Made[p.Stage][p.Index] = r
	j.Open[p.Stage]--
	q.drop(p)
	if j.Finished() {
		j.Ended = true
		return true, true
	}
	if j.Open[p.Stage] == 0 {
		q.advance(j)
	}
	return true, false
}

// drop takes a piece that was made meanwhile out of the line.
func (q *Queue) drop(p Piece) {
	l := q.line(p.Job.Stages[p.Stage].Service)
	g := l.group(p.Job, p.Stage)
	if g == nil {
		return
	}
	if i := slices.Index(g.pieces, p.Index); i >= 0 {
		g.pieces = slices.Delete(g.pieces, i, i+1)
		l.waiting--
		l.clean()
	}
}

// Again queues a piece once more that was not made.
func (q *Queue) Again(p Piece) {
	if p.Job.Ended || p.Job.Made[p.Stage][p.Index].Handle != "" {
		return
	}
	l := q.line(p.Job.Stages[p.Stage].Service)
	if g := l.group(p.Job, p.Stage); g != nil && slices.Contains(g.pieces, p.Index) {
		return
	}
	q.wait(p.Job, p.Stage, []int{p.Index})
}

// Lost records that results of a job no longer exist, and queues what has to
// be made again. It reports whether anything was known of them.
func (q *Queue) Lost(j *job.Job, lost func(job.Result) bool) bool {
	found := false
	for i := range j.Stages {
		for p, r := range j.Made[i] {
			if r.Handle == "" || !lost(r) {
				continue
			}
			found = true
			j.Made[i][p] = job.Result{}
			j.Open[i]++
		}
	}
	if !found {
		return false
	}
	q.restart(j)
	return true
}

// restart queues the job anew from its first stage that has open pieces.
func (q *Queue) restart(j *job.Job) {
	q.remove(j)
	j.Ended = false
	for i := range j.Stages {
		j.Started[i] = false
	}
	q.Add(j)
}

// Remove takes a job out of all lines and ends it.
func (q *Queue) Remove(j *job.Job) {
	q.remove(j)
	j.Ended = true
}

func (q *Queue) remove(j *job.Job) {
	for i, s := range j.Stages {
		l := q.line(s.Service)
		if !j.Started[i] {
			l.coming -= j.Open[i]
			continue
		}
		if g := l.group(j, i); g != nil {
			l.waiting -= len(g.pieces)
			g.pieces = nil
			l.clean()
		}
	}
}

// group returns what waits of a stage of a job, nil for nothing.
func (l *line) group(j *job.Job, stage int) *group {
	i := slices.IndexFunc(l.groups, func(g *group) bool { return g.job == j && g.stage == stage })
	if i < 0 {
		return nil
	}
	return l.groups[i]
}

// clean drops the groups without pieces.
func (l *line) clean() {
	l.groups = slices.DeleteFunc(l.groups, func(g *group) bool { return len(g.pieces) == 0 })
}

// Expired returns the jobs with waiting pieces whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*job.Job {
	var list []*job.Job
	for _, l := range q.lines {
		for _, g := range l.groups {
			if !now.Before(g.job.Deadline) && !slices.Contains(list, g.job) {
				list = append(list, g.job)
			}
		}
	}
	return list
}
