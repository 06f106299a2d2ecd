package load

// This file defines Result and the counting of one step.

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	mostLatency = 10 * time.Minute
	digits      = 3
)

// Result is what one step of a load came to.
type Result struct {
	Step       int       `json:"step"`
	Offered    float64   `json:"offered"` // requests a second, bursts included
	Sent       int       `json:"sent"`
	Skipped    int       `json:"skipped"`    // not sent, since too many were in flight here
	Answered   int       `json:"answered"`   // whole and within the deadline
	Overdue    int       `json:"overdue"`    // whole and late
	NotRun     int       `json:"notrun"`     // refused before anything ran
	Unknown    int       `json:"unknown"`    // may have run
	Failed     int       `json:"failed"`     // ran and gave no answer
	Lost       int       `json:"lost"`       // no answer, or part of one without a code
	Attainment float64   `json:"attainment"` // answered, as a share of all that were due
	Tokens     int       `json:"tokens"`
	Latency    Quantiles `json:"latency"` // of whole answers
	First      Quantiles `json:"first"`   // until the first event of streams
	Stages     []Cost    `json:"stages"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Cost is what one stage cost, as the answers of pipelines tell.
type Cost struct {
	Name     string  `json:"name"`
	Calls    int     `json:"calls"`
	Attempts int     `json:"attempts"`
	Busy     float64 `json:"busy"` // mean seconds that an endpoint was busy for each call
}

// tally counts one step.
type tally struct {
	mu      sync.Mutex
	res     Result
	latency *hdrhistogram.Histogram // microseconds
	first   *hdrhistogram.Histogram
	stages  map[string]*Cost
	order   []string
}

func newTally(step int, offered float64) *tally {
	return &tally{
		res:     Result{Step: step, Offered: offered},
		latency: hdrhistogram.New(1, mostLatency.Microseconds(), digits),
		first:   hdrhistogram.New(1, mostLatency.Microseconds(), digits),
		stages:  make(map[string]*Cost),
	}
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Skipped++
}

func (t *tally) add(o outcome, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Sent++
	t.res.Tokens += o.tokens
	if o.wait > 0 {
		t.first.RecordValue(o.wait.Microseconds())
	}
	switch o.end {
	case whole:
		t.latency.RecordValue(min(o.took, mostLatency).Microseconds())
		t.cost(o.stages)
		if inTime {
			t.res.Answered++
		} else {
			t.res.Overdue++
		}
	case notRun:
		t.res.NotRun++
	case unknown:
		t.res.Unknown++
	case failed:
		t.res.Failed++
	default:
		t.res.Lost++
	}
}

func (t *tally) cost(stages []stage) {
	for _, s := range stages {
		c := t.stages[s.Name]
		if c == nil {
			c = &Cost{Name: s.Name}
			t.stages[s.Name] = c
			t.order = append(t.order, s.Name)
		}
		c.Calls++
		c.Attempts += s.Attempts
		c.Busy += s.Busy.Seconds()
	}
}

func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.res
	if due := r.Sent + r.Skipped; due > 0 {
		r.Attainment = float64(r.Answered) / float64(due)
	}
	r.Latency = quantilesOf(t.latency)
	r.First = quantilesOf(t.first)
	for _, name := range t.order {
		c := *t.stages[name]
		c.Busy /= float64(c.Calls)
		r.Stages = append(r.Stages, c)
	}
	return r
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}
