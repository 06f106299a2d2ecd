// Package meter records the metrics of requests and stages: responses by result
// code, response times, and the time and cost of stages.
package meter

// This file defines Meter.

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// Answered is the code label of requests that got their complete response before
// the deadline.
const Answered = code.Code(0)

// microsPerUnit converts costs to the millionths that the metric counts.
const microsPerUnit = 1e6

// Meter records metrics in a scope. Its labels have few values: kinds of path,
// result codes and stage roles. It is safe for concurrent use.
type Meter struct {
	scope tally.Scope

	mu       sync.Mutex
	requests map[requestKey]tally.Counter
	times    map[string]tally.Histogram
	stages   map[string]*stage
}

type requestKey struct {
	kind string
	code code.Code
}

type stage struct {
	calls tally.Counter
	busy  tally.Counter
	cost  tally.Counter
	time  tally.Histogram
}

// New returns a meter that records metrics in scope.
func New(scope tally.Scope) *Meter {
	return &Meter{
		scope:    scope,
		requests: make(map[requestKey]tally.Counter),
		times:    make(map[string]tally.Histogram),
		stages:   make(map[string]*stage),
	}
}

// buckets returns bucket bounds from 1 ms to 16.384 s, each twice the previous one.
func buckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
}

// RecordRequest records the response to a request and its response time. kind is the
// kind of path; c is Answered or the result code of the fault.
func (m *Meter) RecordRequest(kind string, c code.Code, elapsed time.Duration) {
	counter, times := m.request(requestKey{kind: kind, code: c})
	counter.Inc(1)
	times.RecordDuration(elapsed)
}

func (m *Meter) request(k requestKey) (tally.Counter, tally.Histogram) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requests[k] == nil {
		class := "answered"
		if k.code != Answered {
			class = k.code.Class().String()
		}
		m.requests[k] = m.scope.Tagged(map[string]string{
			"kind": k.kind, "code": strconv.Itoa(int(k.code)), "class": class,
		}).Counter("requests")
	}
	if m.times[k.kind] == nil {
		m.times[k.kind] = m.scope.Tagged(map[string]string{"kind": k.kind}).Histogram("request_time", buckets())
	}
	return m.requests[k], m.times[k.kind]
}

// RecordStage records a completed stage: its elapsed time, the time for which its
// endpoint was busy, and the cost at the given price per busy second.
func (m *Meter) RecordStage(role string, elapsed, busy time.Duration, price float64) {
	s := m.stage(role)
	s.calls.Inc(1)
	s.busy.Inc(busy.Microseconds())
	s.cost.Inc(int64(busy.Seconds() * price * microsPerUnit))
	s.time.RecordDuration(elapsed)
}

func (m *Meter) stage(role string) *stage {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stages[role]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"role": role})
		s = &stage{
			calls: scope.Counter("stage_calls"),
			busy:  scope.Counter("stage_busy_microseconds"),
			cost:  scope.Counter("stage_cost_millionths"),
			time:  scope.Histogram("stage_time", buckets()),
		}
		m.stages[role] = s
	}
	return s
}

// SetGauge sets a gauge to its current value.
func (m *Meter) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
