package queue

// This file decides on arrival whether a job can be done in time.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	// idleWait is the longest wait in line at which a job that will be late
	// all the same takes nothing from others.
	idleWait = 60 * time.Millisecond

	// doubt multiplies predictions: jobs at the limit took 1.05 to 1.09 times as
	// long in the middle, and those that end late have used endpoints for little.
	doubt = 1.08

	// mostReserve is the greatest share of a job's time that it leaves to jobs
	// of other ranks that were taken less often.
	mostReserve = 0.3
	// rankStep is how much less often jobs are taken than those of the next
	// more urgent rank, where not all can be.
	rankStep = 0.04
	// takenGain is the weight of one job in the moving share of those taken: a
	// second or two of a busy service.
	takenGain = 0.01
	mostRanks = 100 // that are told apart at a service
	// lately is how long nothing is reserved for a rank after its last job: some
	// returns of refused callers.
	lately = 5 * time.Second
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

// taken is the moving share of jobs that a service did not keep from being
// taken, by rank, the most urgent first.
type taken struct {
	ranks []standing
}

type standing struct {
	rank  int
	share float64
	seen  time.Time // when a job of the rank came last
}

// note takes in whether a job was kept out by the service.
func (t *taken) note(rank int, out bool, now time.Time) {
	i, known := slices.BinarySearchFunc(t.ranks, rank, func(s standing, rank int) int { return cmp.Compare(s.rank, rank) })
	if !known {
		if len(t.ranks) >= mostRanks {
			return
		}
		t.ranks = slices.Insert(t.ranks, i, standing{rank: rank, share: 1})
	}
	value := 1.0
	if out {
		value = 0
	}
	t.ranks[i].share += takenGain * (value - t.ranks[i].share)
	t.ranks[i].seen = now
}

// reserve is the share of its time that a job leaves to others: the more often
// its rank is taken than the others that came lately, with a step from rank to
// rank, the more.
func (t *taken) reserve(rank int, now time.Time) float64 {
	own := slices.IndexFunc(t.ranks, func(s standing) bool { return s.rank == rank })
	if own < 0 {
		return 0
	}
	worst := 0.0
	for i, other := range t.ranks {
		if now.Sub(other.seen) <= lately {
			worst = max(worst, t.ranks[own].share-other.share+rankStep*float64(own-i))
		}
	}
	return min(mostReserve, worst)
}

// Verdict says whether a job is taken.
type Verdict struct {
	Take   bool
	Ground Ground
	Takes  time.Duration // predicted, until the stages end
	Wait   time.Duration // longest predicted wait in one line
	After  time.Duration // when to come back, where the job is not taken
}

// Judge predicts when a job's stages would end if it were added now, and
// decides whether it is taken.
func (q *Queue) Judge(j *job.Job, now time.Time) Verdict {
	v, narrow := q.predict(j)
	if narrow == nil {
		return v
	}
	v.Takes = time.Duration(doubt * float64(v.Takes))
	left := j.Goal.Add(j.After - q.usual.note(j)).Sub(now)
	v.decide(left, j.Deadline.Sub(now), narrow.taken.reserve(j.Rank, now))
	for i, s := range j.Stages {
		if l := q.line(s.Service); j.Open[i] > 0 {
			l.taken.note(j.Rank, !v.Take && l == narrow, now)
			l.crowd.asked(j.Open[i], now)
		}
	}
	return v
}

// predict returns how long a job's stages would take, and the line in which it
// would wait longest, or nil where a stage has no endpoint.
func (q *Queue) predict(j *job.Job) (v Verdict, narrow *line) {
	ends := make([]time.Duration, len(j.Stages))
	for i, s := range j.Stages {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if j.Open[i] > 0 {
			l := q.line(s.Service)
			if l.workers == 0 {
				return Verdict{Ground: NoWorker, After: idleWait}, nil
			}
			wait := l.wait(ends[i])
			if narrow == nil || wait > v.Wait {
				v.Wait, narrow = wait, l
			}
			ends[i] += wait + l.turn() + l.callWith(j.Open[i])
		}
		v.Takes = max(v.Takes, ends[i])
	}
	return v, narrow
}

// decide sets whether a job is taken that should end within left and must end
// within most.
func (v *Verdict) decide(left, most time.Duration, reserve float64) {
	short := v.Wait <= idleWait
	switch {
	case v.Takes <= time.Duration((1-reserve)*float64(left)), short && v.Takes <= left:
		v.Take, v.Ground = true, InTime
	case short && v.Takes <= most:
		v.Take, v.Ground = true, Spare
	default:
		v.Ground = TooLate
		v.After = max(idleWait, v.Wait/2)
	}
}

// wait predicts how long a piece that arrives after some time waits in line.
func (l *line) wait(begin time.Duration) time.Duration {
	perPiece := float64(l.full()) / (float64(l.batch.Most) * l.workers)
	return max(0, time.Duration(float64(l.waiting+l.coming)*perPiece)-begin)
}

// callWith is how long a call takes that holds some pieces of a job and what
// else waits.
func (l *line) callWith(own int) time.Duration {
	n := min(l.batch.Most, own+int(float64(l.waiting+l.coming)/l.workers))
	return l.batch.Call + time.Duration(n)*l.batch.Item
}
