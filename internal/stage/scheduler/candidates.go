package scheduler

// This file orders the groups for a call, of which only the first ones are taken, and looks at the stages after
// each of them.

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// compare orders candidates by tier and then by the slack of this stage, the least first. Groups that can no longer
// meet their goal are ordered by priority instead, and those of one priority by how little they are late. Where space is
// short, started stages come before all others.
func compare(a, b *candidate) int {
	if a.behind != b.behind {
		if b.behind {
			return -1
		}
		return 1
	}
	if a.tier == tierLate && b.tier == tierLate {
		return cmp.Or(cmp.Compare(a.group.job.Priority, b.group.job.Priority), cmp.Compare(b.slack, a.slack), cmp.Compare(a.order, b.order))
	}
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.share, b.share), cmp.Compare(a.order, b.order))
}

// candidateQueue is a heap of candidates, so that those which are not taken need not be sorted.
type candidateQueue []candidate

func (c candidateQueue) arrange() {
	for i := len(c)/2 - 1; i >= 0; i-- {
		c.sink(i)
	}
}

// next removes the first candidate.
func (c *candidateQueue) next() candidate {
	list := *c
	first, last := list[0], len(list)-1
	list[0] = list[last]
	*c = list[:last]
	c.sink(0)
	return first
}

func (c candidateQueue) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(c) {
			return
		}
		if child+1 < len(c) && compare(&c[child+1], &c[child]) < 0 {
			child++
		}
		if compare(&c[i], &c[child]) <= 0 {
			return
		}
		c[i], c[child] = c[child], c[i]
		i = child
	}
}

// queuesOf returns the queues of a job's stages.
func (s *Scheduler) queuesOf(j *job.Job) []*serviceQueue {
	queues := make([]*serviceQueue, len(j.Stages))
	for i, stage := range j.Stages {
		queues[i] = s.queueFor(stage.Service)
	}
	return queues
}

// pathFrom looks at the open stages that depend on stage i, along the longest path. It returns how long they usually
// take, and the number of stages from stage i, which has open pieces, to the end.
func pathFrom(i int, j *job.Job, queues []*serviceQueue) (downstream time.Duration, stages int) {
	for k := i + 1; k < len(j.Stages); k++ {
		if j.Remaining[k] > 0 && slices.Contains(j.Stages[k].After, i) {
			after, left := pathFrom(k, j, queues)
			downstream = max(downstream, queues[k].typicalCallTime()+queues[k].workerDelay()+after)
			stages = max(stages, left)
		}
	}
	return downstream, 1 + stages
}
