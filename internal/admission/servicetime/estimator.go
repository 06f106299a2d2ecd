// Package servicetime predicts whether a request can be finished by its deadline, from
// measured service times of pipeline stages. Requests that would miss their deadline
// can then be refused before they use capacity. The package does no I/O.
package servicetime

// This file defines Estimator and Prediction.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const (
	shards        = 8        // reduces lock contention
	sampleWeight  = 1.0 / 16 // weight of a new measurement in the moving averages
	deviations    = 2.0      // mean deviations added to the mean of each stage, so that most requests take less
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Prediction is the prediction whether a request meets its deadline.
type Prediction struct {
	MeetsDeadline bool
	TotalTime     time.Duration // predicted time until the response is complete, including waits in queues
	RetryAfter    time.Duration // if MeetsDeadline is false: time after which a retry is worthwhile
}

// Estimator estimates the service time of stages by moving averages. It is safe for
// concurrent use.
type Estimator struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	times map[key]*estimate
}

type key struct{ pipeline, stage string }

type estimate struct{ mean, deviation float64 } // nanoseconds; deviation is the mean absolute deviation

// New returns an estimator without measurements.
func New() *Estimator {
	e := new(Estimator)
	for i := range e.shards {
		e.shards[i].times = make(map[key]*estimate)
	}
	return e
}

func (e *Estimator) shard(k key) *shard {
	return &e.shards[(xxhash.Sum64String(k.pipeline)+xxhash.Sum64String(k.stage))%shards]
}

// Observe records the service time of a stage that succeeded, excluding waits in queues.
func (e *Estimator) Observe(pipeline, stage string, serviceTime time.Duration) {
	k := key{pipeline, stage}
	sh := e.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	est := sh.times[k]
	if est == nil {
		sh.times[k] = &estimate{mean: float64(serviceTime), deviation: float64(serviceTime) / 2}
		return
	}
	diff := float64(serviceTime) - est.mean
	est.mean += sampleWeight * diff
	est.deviation += sampleWeight * (max(diff, -diff) - est.deviation)
}

// ObserveProbe records the service time of a stage of a probe: a job that was admitted
// although it was predicted to miss its deadline. If the time is below the mean, it
// replaces the estimate. An estimate that is too high would otherwise never be
// corrected, because the jobs that could correct it are refused.
func (e *Estimator) ObserveProbe(pipeline, stage string, serviceTime time.Duration) {
	k := key{pipeline, stage}
	sh := e.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if est := sh.times[k]; est == nil || float64(serviceTime) < est.mean {
		sh.times[k] = &estimate{mean: float64(serviceTime), deviation: float64(serviceTime) / 2}
	}
}

// StageTime returns the mean service time of stage i and its mean absolute deviation. If
// the stage has not been measured, it uses the time that the table expects.
func (e *Estimator) StageTime(p *pipeline.Pipeline, i int) (mean, deviation time.Duration) {
	k := key{p.Name, p.Stages[i].Name}
	sh := e.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if est := sh.times[k]; est != nil {
		return time.Duration(est.mean), time.Duration(est.deviation)
	}
	expected := p.Stages[i].ExpectedTime.Duration()
	return expected, expected / 2
}

// RemainingTime returns the time within which stage i and all later stages complete in most
// cases: the sum of their means and of some mean deviations, excluding waits in queues.
func (e *Estimator) RemainingTime(p *pipeline.Pipeline, i int) time.Duration {
	var total time.Duration
	for j := i; j < len(p.Stages); j++ {
		mean, deviation := e.StageTime(p, j)
		total += mean + time.Duration(deviations*float64(deviation))
	}
	return total
}

// Predict predicts whether stage i and all later stages complete within left, the time to
// the deadline. The predicted total wait in the queues of these stages is wait.
func (e *Estimator) Predict(p *pipeline.Pipeline, i int, left, wait time.Duration) Prediction {
	need := e.RemainingTime(p, i) + wait
	if need <= left {
		return Prediction{MeetsDeadline: true, TotalTime: need}
	}
	return Prediction{TotalTime: need, RetryAfter: min(maxRetryAfter, max(minRetryAfter, need-left))}
}
