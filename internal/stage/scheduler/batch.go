package scheduler

// This file chooses the pieces of the next call to an endpoint.

import (
	"slices"
	"time"
)

const (
	batchGain = 0.1 // weight of one call in the moving mean of pieces per call
	// localWaitCalls is the number of typical calls that centreWait allows for in a
	// data centre, besides the pieces that wait for its workers. Pieces with more slack
	// than centreWait are left to the workers in the data centre of their inputs.
	localWaitCalls = 2
	minMeanBatch   = 1 // lower bound of the assumed pieces per call
)

// Worker is an endpoint of a service that can take another call.
type Worker struct {
	Service   string
	Centre    string
	FreeBytes int64   // bytes of results that it can still hold
	Slowdown  float64 // duration of its calls relative to the usual one, 1 or more
	Last      bool    // no other worker of the service is usable
}

// NextBatch chooses the pieces of a worker's next call and removes them from
// the queue. It returns none if no piece is waiting, or if all waiting pieces
// are better left to another worker: one that is fast enough to meet their goal
// or one in the data centre of their inputs. The pieces of a suspect job share no call with
// others, which a crash would end too, and are not for the last worker.
func (s *Scheduler) NextBatch(w Worker, now time.Time) []Piece {
	q := s.queueFor(w.Service)
	if q.waiting == 0 {
		return nil
	}
	queue := q.candidates(w, now)
	var pieces []Piece
	for len(queue) > 0 && len(pieces) < q.batch.MaxPieces && w.FreeBytes > 0 {
		g := queue.next().group
		if !w.mayTake(g, pieces) {
			continue
		}
		size := max(1, g.job.Stages[g.stage].Bytes)
		for len(g.pieces) > 0 && len(pieces) < q.batch.MaxPieces && w.FreeBytes >= size {
			pieces = append(pieces, Piece{Job: g.job, Stage: g.stage, Index: g.pieces[0]})
			g.pieces = g.pieces[1:]
			w.FreeBytes -= size
			q.waiting--
			q.backlog.add(g.job.Due[g.stage], -1)
		}
	}
	clear(q.buffer) // it would keep jobs that have ended
	q.dropEmptyGroups()
	if len(pieces) > 0 {
		q.taken.record(len(pieces), now)
		q.meanBatch += batchGain * (float64(len(pieces)) - q.meanBatch)
	}
	return pieces
}

// mayTake reports whether the pieces of a group may go to a worker, in a call with the given pieces.
func (w Worker) mayTake(g *group, with []Piece) bool {
	if !g.job.MayGoTo(w.Centre) || g.job.Suspect && w.Last {
		return false
	}
	return len(with) == 0 || with[0].Job == g.job || !g.job.Suspect && !with[0].Job.Suspect
}

// tier is the primary sort key of groups for a worker's next call.
type tier int

const (
	tierUrgent tier = iota // misses its goal unless it is in this call
	tierLocal              // its inputs are in the worker's data centre, or no other one is preferred
	tierRemote             // its inputs are in another data centre
	tierLate               // can no longer meet its goal
)

// candidate is a group with its tier and slack for one worker.
type candidate struct {
	group *group
	tier  tier
	slack time.Duration // time left until the goal after this call and all later stages; negative if the goal is missed
	share time.Duration // slack for this stage: slack divided by the stages left
	order int           // in which the groups were queued
	// behind is set for a stage of which no piece was taken yet, where space is short: the results of started ones keep
	// their space until their other pieces are executed as well and a later stage can read them.
	behind bool
}

// candidates returns the groups that a worker may take. They are valid until the next call.
func (q *serviceQueue) candidates(w Worker, now time.Time) candidateQueue {
	list := q.buffer[:0]
	typical := q.typicalCallTime()
	pending := q.piecesByCentre()
	delay := time.Duration(w.Slowdown*float64(typical)) - typical
	short := q.lacksSpace(w)
	for i, g := range q.groups {
		behind := short && !g.started()
		downstream, stages := pathFrom(g.stage, g.job, g.queues)
		slack := g.job.Goal.Sub(now) - typical - downstream
		share := slack / time.Duration(stages)
		remote := g.inputCentre != w.Centre && q.centreCapacity[g.inputCentre] > 0
		switch {
		case slack < 0:
			list = append(list, candidate{g, tierLate, slack, slack, i, behind})
		case slack < delay && q.capacity > 1:
			// This worker is too slow for the goal, but another one can meet it.
		case remote && slack > q.centreWait(g.inputCentre, pending.of(g.inputCentre)):
			// A worker in the data centre of the inputs should be free in time.
		case slack < typical:
			list = append(list, candidate{g, tierUrgent, slack, share, i, behind})
		case remote:
			list = append(list, candidate{g, tierRemote, slack, share, i, behind})
		default:
			list = append(list, candidate{g, tierLocal, slack, share, i, behind})
		}
	}
	q.buffer = list
	list.arrange()
	return list
}

// lacksSpace reports whether the results of a full call, or of all waiting pieces if these are
// fewer, do not fit at a worker.
func (q *serviceQueue) lacksSpace(w Worker) bool {
	var size int64
	for _, g := range q.groups {
		size += int64(len(g.pieces)) * g.job.Stages[g.stage].Bytes
	}
	return w.FreeBytes < size/int64(q.waiting)*int64(min(q.waiting, q.batch.MaxPieces))
}

// typicalCallTime returns how long a call with the usual number of pieces takes.
func (q *serviceQueue) typicalCallTime() time.Duration {
	n := min(float64(q.batch.MaxPieces), max(minMeanBatch, q.meanBatch))
	return q.batch.CallOverhead + time.Duration(n*float64(q.batch.PieceTime))
}

// fullCallTime returns how long a call with the maximum number of pieces takes.
func (q *serviceQueue) fullCallTime() time.Duration {
	return q.batch.CallOverhead + time.Duration(q.batch.MaxPieces)*q.batch.PieceTime
}

// centreCount is the number of pieces whose inputs are in a data centre.
type centreCount struct {
	centre string
	pieces int
}

// centrePieces holds few data centres.
type centrePieces []centreCount

func (c centrePieces) of(centre string) int {
	for i := range c {
		if c[i].centre == centre {
			return c[i].pieces
		}
	}
	return 0
}

// piecesByCentre returns the number of waiting pieces by the data centre of
// their inputs.
func (q *serviceQueue) piecesByCentre() centrePieces {
	var counts centrePieces
	for _, g := range q.groups {
		i := slices.IndexFunc(counts, func(c centreCount) bool { return c.centre == g.inputCentre })
		if i < 0 {
			i = len(counts)
			counts = append(counts, centreCount{centre: g.inputCentre})
		}
		counts[i].pieces += len(g.pieces)
	}
	return counts
}

// centreWait returns a cautious estimate of the time in which the workers of a
// data centre execute the given number of pieces.
func (q *serviceQueue) centreWait(centre string, pieces int) time.Duration {
	full := float64(pieces) / float64(q.batch.MaxPieces) * float64(q.fullCallTime())
	return time.Duration((localWaitCalls*float64(q.typicalCallTime()) + full) / q.centreCapacity[centre])
}

// workerDelay returns the expected time until some worker is free.
func (q *serviceQueue) workerDelay() time.Duration {
	return time.Duration(float64(q.typicalCallTime()) / (q.capacity + 1))
}
