package queue

// This file decides on arrival whether a job can be done in time.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	// rankReserve is the share of a job's time that each step of its rank
	// leaves to more urgent jobs.
	rankReserve = 0.06
	mostReserve = 0.3
	// idleWait is the longest wait in line at which a job that will be late
	// all the same takes nothing from others.
	idleWait = 60 * time.Millisecond
)

// Ground is the reason of a verdict.
type Ground int

const (
	// InTime means that the job should be done by its goal.
	InTime Ground = iota + 1
	// Spare means that the job will be late and keeps nobody waiting.
	Spare
	// TooLate means that the pieces ahead of the job leave it no time.
	TooLate
	// NoWorker means that a stage has no usable endpoint.
	NoWorker
)

var grounds = [...]string{InTime: "in time", Spare: "spare capacity", TooLate: "too late", NoWorker: "no endpoint"}

// String returns the text used in logs.
func (g Ground) String() string {
	if g < InTime || g > NoWorker {
		return fmt.Sprintf("ground(%d)", int(g))
	}
	return grounds[g]
}

// Verdict says whether a job is taken.
type Verdict struct {
	Take   bool
	Ground Ground
	Takes  time.Duration // predicted, until the stages end
	Wait   time.Duration // longest predicted wait in one line
	After  time.Duration // when to come back, where the job is not taken
}

// Judge predicts when a job's stages would end if it were added now.
func (q *Queue) Judge(j *job.Job, now time.Time) Verdict {
	ends := make([]time.Duration, len(j.Stages))
	var v Verdict
	for i, s := range j.Stages {
		var begin time.Duration
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if j.Open[i] > 0 {
			l := q.line(s.Service)
			if l.workers == 0 {
				return Verdict{Ground: NoWorker, After: idleWait}
			}
			wait := l.wait(begin)
			v.Wait = max(v.Wait, wait)
			ends[i] = begin + wait + l.turn() + l.callWith(j.Open[i])
		}
		v.Takes = max(v.Takes, ends[i])
	}
	return v.decide(j, now)
}

func (v Verdict) decide(j *job.Job, now time.Time) Verdict {
	left := j.Goal.Sub(now)
	reserve := time.Duration(min(mostReserve, rankReserve*float64(j.Rank)) * float64(left))
	switch {
	case v.Takes <= left-reserve:
		v.Take, v.Ground = true, InTime
	case v.Takes <= left && v.Wait <= idleWait:
		v.Take, v.Ground = true, InTime
	case v.Wait <= idleWait && v.Takes <= j.Deadline.Sub(now):
		v.Take, v.Ground = true, Spare
	default:
		v.Ground = TooLate
		v.After = max(idleWait, v.Wait/2)
	}
	return v
}

// wait predicts how long a piece that arrives after some time waits in line.
func (l *line) wait(begin time.Duration) time.Duration {
	full := l.batch.Call + time.Duration(l.batch.Most)*l.batch.Item
	perPiece := float64(full) / float64(l.batch.Most*l.workers)
	return max(0, time.Duration(float64(l.waiting+l.coming)*perPiece)-begin)
}

// callWith is how long a call takes that holds some pieces of a job and what
// else waits.
func (l *line) callWith(own int) time.Duration {
	n := min(l.batch.Most, own+(l.waiting+l.coming)/l.workers)
	return l.batch.Call + time.Duration(n)*l.batch.Item
}
