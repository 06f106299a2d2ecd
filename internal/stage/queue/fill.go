package queue

// This file chooses the pieces of the next call.

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	batchGain = 0.1 // weight of a call in the moving mean of pieces in a call
	// homePatience is the number of calls that pieces wait for, over the workers
	// in the data centre of their inputs, before they go to another one.
	homePatience = 2
	least        = 1 // pieces that a call is assumed to hold at least
)

// Worker is a free endpoint of a service.
type Worker struct {
	Service string
	Centre  string
	Room    int64   // bytes that it can take
	Slow    float64 // how many times as long as usual it takes, 1 or more
}

// Fill returns the pieces of a worker's next call, and takes them out of the
// line. It returns none where nothing waits that the worker can make in time
// while others could.
func (q *Queue) Fill(w Worker, now time.Time) []Piece {
	l := q.line(w.Service)
	if l.waiting == 0 {
		return nil
	}
	order := q.order(l, w, now)
	var pieces []Piece
	for _, r := range order {
		g := r.group
		size := max(1, g.job.Stages[g.stage].Bytes)
		for len(g.pieces) > 0 && len(pieces) < l.batch.Most && w.Room >= size {
			pieces = append(pieces, Piece{Job: g.job, Stage: g.stage, Index: g.pieces[0]})
			g.pieces = g.pieces[1:]
			w.Room -= size
			l.waiting--
		}
	}
	l.clean()
	if len(pieces) > 0 {
		l.batched += batchGain * (float64(len(pieces)) - l.batched)
	}
	return pieces
}

// tier is how a group stands in the order of a worker's next call.
type tier int

const (
	pressing tier = iota // it is late if it has to wait for another call
	near                 // its inputs lie in the worker's data centre, or anywhere
	far
	hopeless // it cannot be on time any more
)

// ranked is a group with the time that it has to spare.
type ranked struct {
	group *group
	tier  tier
	spare time.Duration
}

// order sorts the groups of a line for a worker: by tier, and then by the time
// that they have to spare; the hopeless by rank first.
func (q *Queue) order(l *line, w Worker, now time.Time) []ranked {
	list := make([]ranked, 0, len(l.groups))
	usual := l.call()
	beside := l.beside()
	slow := time.Duration(w.Slow*float64(usual)) - usual
	for _, g := range l.groups {
		spare := g.job.Goal.Sub(now) - usual - q.rest(g.job, g.stage)
		isFar := g.home != w.Centre && l.centres[g.home] > 0
		switch {
		case spare < 0:
			list = append(list, ranked{g, hopeless, spare})
		case spare < slow && l.workers > 1:
			// Another worker can still make it in time.
		case isFar && spare > l.turnIn(g.home, beside[g.home]):
			// A worker beside its inputs should be free in time.
		case spare < usual:
			list = append(list, ranked{g, pressing, spare})
		case isFar:
			list = append(list, ranked{g, far, spare})
		default:
			list = append(list, ranked{g, near, spare})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		if a.tier == hopeless && b.tier == hopeless {
			return cmp.Or(cmp.Compare(a.group.job.Rank, b.group.job.Rank), cmp.Compare(b.spare, a.spare))
		}
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.spare, b.spare))
	})
	return list
}

// call is how long a call usually takes.
func (l *line) call() time.Duration {
	n := min(float64(l.batch.Most), max(least, l.batched))
	return l.batch.Call + time.Duration(n*float64(l.batch.Item))
}

// full is how long a call takes that holds as many pieces as it can.
func (l *line) full() time.Duration {
	return l.batch.Call + time.Duration(l.batch.Most)*l.batch.Item
}

// rest is how long the stages after stage i usually take.
func (q *Queue) rest(j *job.Job, i int) time.Duration {
	var longest time.Duration
	for k := i + 1; k < len(j.Stages); k++ {
		if j.Open[k] > 0 && slices.Contains(j.Stages[k].After, i) {
			l := q.line(j.Stages[k].Service)
			longest = max(longest, l.call()+l.turn()+q.rest(j, k))
		}
	}
	return longest
}

// beside returns how many pieces wait for workers in each data centre, since
// their inputs lie there.
func (l *line) beside() map[string]int {
	n := make(map[string]int)
	for _, g := range l.groups {
		n[g.home] += len(g.pieces)
	}
	return n
}

// turnIn is how long it takes at most until the workers in a data centre have
// made so many pieces.
func (l *line) turnIn(centre string, pieces int) time.Duration {
	full := float64(pieces) / float64(l.batch.Most) * float64(l.full())
	return time.Duration((homePatience*float64(l.call()) + full) / l.centres[centre])
}

// turn is how long it usually takes until a worker is free.
func (l *line) turn() time.Duration { return time.Duration(float64(l.call()) / (l.workers + 1)) }
