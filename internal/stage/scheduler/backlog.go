package scheduler

// This file counts the work ahead of a job by the order in which it is done.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	dueStep = 50 * time.Millisecond // width of the intervals in which pieces are counted together
	// backlogTime is how long pieces have to be overdue for the pieces executed meanwhile to
	// show the capacity of a service. It spans more than a call.
	backlogTime = 500 * time.Millisecond
	// minThroughput is the least part of the nominal throughput that is assumed.
	minThroughput = 0.1
)

// backlog counts the pieces that wait for a service, or will, by the time at which the call
// with them should begin. The pieces that are due first are taken first, so that a job is
// delayed only by those that are due before it.
type backlog struct {
	pieces map[int64]int // by interval
	total  int
}

func newBacklog() backlog { return backlog{pieces: make(map[int64]int)} }

func interval(t time.Time) int64 { return t.UnixNano() / int64(dueStep) }

// add counts n more pieces that are due at a time.
func (b *backlog) add(due time.Time, n int) {
	i := interval(due)
	b.total += n
	if b.pieces[i] += n; b.pieces[i] == 0 {
		delete(b.pieces, i)
	}
}

// ahead returns the pieces that are due by a time. Pieces that are overdue are taken last,
// so that only a job that is overdue itself waits for them.
func (b *backlog) ahead(due, now time.Time) int {
	first, last := interval(now), interval(due)
	if last < first {
		return b.total
	}
	n := 0
	for i, pieces := range b.pieces {
		if i >= first && i <= last {
			n += pieces
		}
	}
	return n
}

// overdue returns the pieces whose call should have begun.
func (b *backlog) overdue(now time.Time) int {
	n := 0
	for i, pieces := range b.pieces {
		if i < interval(now) {
			n += pieces
		}
	}
	return n
}

// due returns when the call with the last pieces of a stage should begin: the time that a job
// can wait until its goal is divided evenly between its stages.
func (s *Scheduler) due(j *job.Job, stage int, now time.Time) time.Time {
	first := stage
	for len(j.Stages[first].After) > 0 {
		first = j.Stages[first].After[0]
	}
	queues := s.queuesOf(j)
	downstream, left := pathFrom(stage, j, queues)
	whole, total := pathFrom(first, j, queues)
	latest := j.Goal.Add(-queues[stage].typicalCallTime() - downstream)
	spare := j.Goal.Sub(now) - queues[first].typicalCallTime() - whole
	return latest.Add(-max(0, spare) * time.Duration(left-1) / time.Duration(total))
}

// updateOverdue records whether a call or more of pieces is overdue.
func (q *serviceQueue) updateOverdue(now time.Time) {
	switch {
	case q.backlog.overdue(now) < q.batch.MaxPieces:
		q.overdueSince = time.Time{}
	case q.overdueSince.IsZero():
		q.overdueSince = now
	}
}

// throughput returns the pieces per second that the service can execute: those of full calls, or those
// for whose results there is space if they are fewer; what it has executed of late if pieces stay
// overdue. Endpoints without space for results take fewer calls, and smaller ones.
func (q *serviceQueue) throughput(now time.Time) float64 {
	full := float64(q.batch.MaxPieces) * q.capacity / q.fullCallTime().Seconds()
	least := minThroughput * full
	full = max(least, min(full, q.spaceRate))
	if q.overdueSince.IsZero() || now.Sub(q.overdueSince) < backlogTime {
		return full
	}
	return min(full, max(least, q.taken.current(now)))
}
