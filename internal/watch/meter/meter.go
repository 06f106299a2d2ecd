// Package meter counts what operators watch: answers by code, times, and the
// cost of each stage.
package meter

// This file defines Meter.

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// Answered is the code label of requests that got their whole answer in time.
const Answered = code.Code(0)

const microsPerUnit = 1e6

// Meter counts into a scope. Its labels have few values: kinds of path, result
// codes and stage roles.
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

// New returns a meter that counts into scope.
func New(scope tally.Scope) *Meter {
	return &Meter{
		scope:    scope,
		requests: make(map[requestKey]tally.Counter),
		times:    make(map[string]tally.Histogram),
		stages:   make(map[string]*stage),
	}
}

func buckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
}

// Request counts one answer of a kind of path, with Answered or the code of its fault.
func (m *Meter) Request(kind string, c code.Code, took time.Duration) {
	counter, times := m.request(requestKey{kind: kind, code: c})
	counter.Inc(1)
	times.RecordDuration(took)
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

// Stage counts one stage that gave its answer: the time it took, the time its
// endpoint was busy, and the price of a busy second there.
func (m *Meter) Stage(role string, took, busy time.Duration, price float64) {
	s := m.stage(role)
	s.calls.Inc(1)
	s.busy.Inc(busy.Microseconds())
	s.cost.Inc(int64(busy.Seconds() * price * microsPerUnit))
	s.time.RecordDuration(took)
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

// Gauge shows the present value of something that the daemon holds.
func (m *Meter) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
