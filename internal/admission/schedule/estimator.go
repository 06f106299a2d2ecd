// Package schedule says early which requests can't be finished by their
// deadline, from the times that stages were measured to take.
package schedule

// This file defines Schedule and Verdict.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const (
	shards      = 8
	gain        = 1.0 / 16 // weight of a new measurement in the moving mean
	reserve     = 2.0      // deviations kept for each later stage
	leastReturn = 250 * time.Millisecond
	mostReturn  = 30 * time.Second
)

// Verdict says whether a request can be finished in the time it has left.
type Verdict struct {
	Fits  bool
	Need  time.Duration // predicted time until the answer is whole, waits included
	After time.Duration // when Fits is false: when it is worth to ask again
}

// Schedule keeps the measured times of stages. It is safe for concurrent use.
type Schedule struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	times map[key]*measured
}

type key struct{ pipeline, stage string }

type measured struct{ mean, deviation float64 } // nanoseconds

// New returns a schedule without measurements.
func New() *Schedule {
	s := new(Schedule)
	for i := range s.shards {
		s.shards[i].times = make(map[key]*measured)
	}
	return s
}

func (s *Schedule) shard(k key) *shard {
	return &s.shards[(xxhash.Sum64String(k.pipeline)+xxhash.Sum64String(k.stage))%shards]
}

// Observe records the service time of a stage that succeeded, without its wait in a queue.
func (s *Schedule) Observe(pipeline, stage string, took time.Duration) {
	k := key{pipeline, stage}
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	m := sh.times[k]
	if m == nil {
		sh.times[k] = &measured{mean: float64(took), deviation: float64(took) / 2}
		return
	}
	diff := float64(took) - m.mean
	m.mean += gain * diff
	m.deviation += gain * (max(diff, -diff) - m.deviation)
}

// Restart records the service time of a stage of a job that was let in although
// the measurements spoke against it. A shorter time takes their place, since
// they would keep out the jobs that could correct them.
func (s *Schedule) Restart(pipeline, stage string, took time.Duration) {
	k := key{pipeline, stage}
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if m := sh.times[k]; m == nil || float64(took) < m.mean {
		sh.times[k] = &measured{mean: float64(took), deviation: float64(took) / 2}
	}
}

// Time returns the mean and mean deviation of a stage, or what the table
// expects of it as long as nothing was measured.
func (s *Schedule) Time(p *pipeline.Pipeline, i int) (mean, deviation time.Duration) {
	k := key{p.Name, p.Stages[i].Name}
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if m := sh.times[k]; m != nil {
		return time.Duration(m.mean), time.Duration(m.deviation)
	}
	expected := p.Stages[i].Time.Duration()
	return expected, expected / 2
}

// Need returns the time that stage i and all later ones take in all but few
// cases: their means and some deviations, without waits in queues.
func (s *Schedule) Need(p *pipeline.Pipeline, i int) time.Duration {
	var need time.Duration
	for j := i; j < len(p.Stages); j++ {
		mean, deviation := s.Time(p, j)
		need += mean + time.Duration(reserve*float64(deviation))
	}
	return need
}

// Fits predicts whether stage i and all later ones can be finished in the time
// left, when the queues on the way are expected to hold the request for wait in all.
func (s *Schedule) Fits(p *pipeline.Pipeline, i int, left, wait time.Duration) Verdict {
	need := s.Need(p, i) + wait
	if need <= left {
		return Verdict{Fits: true, Need: need}
	}
	return Verdict{Need: need, After: min(mostReturn, max(leastReturn, need-left))}
}
