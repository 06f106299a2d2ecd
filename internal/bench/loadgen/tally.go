package loadgen

// This file defines Result and tally, which collects the outcomes of one step.

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 10 * time.Minute // greatest latency that the histograms hold
	significantDigits = 3                // significant decimal digits of the histograms
)

// Result holds the figures of one step.
type Result struct {
	Step       int         `json:"step"`
	Offered    float64     `json:"offered"` // mean requests a second, bursts included
	Sent       int         `json:"sent"`
	Skipped    int         `json:"skipped"`    // not sent because Plan.MaxInFlight requests were in flight
	Answered   int         `json:"answered"`   // complete and within the deadline
	Overdue    int         `json:"overdue"`    // complete, after the deadline
	NotRun     int         `json:"notrun"`     // refused before any part of it ran
	Unknown    int         `json:"unknown"`    // may have run
	Failed     int         `json:"failed"`     // ran and failed
	Lost       int         `json:"lost"`       // no response, or an incomplete one without an error class
	Attainment float64     `json:"attainment"` // answered requests, as a share of all that were due, skipped ones included
	Tokens     int         `json:"tokens"`     // generated tokens
	Latency    Quantiles   `json:"latency"`    // of complete responses, from the time at which a request was due
	FirstEvent Quantiles   `json:"first"`      // from the same time to the first event of a stream
	Stages     []StageCost `json:"stages"`     // of complete pipeline responses that report their stages
}

// Quantiles are latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// StageCost is the cost of one stage, as reported in the responses of pipelines.
type StageCost struct {
	Name     string  `json:"name"`
	Calls    int     `json:"calls"`
	Attempts int     `json:"attempts"`
	MeanBusy float64 `json:"busy"` // mean seconds for which an endpoint was busy with a call
}

// tally collects the outcomes of one step. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	res        Result
	latency    *hdrhistogram.Histogram // microseconds
	firstEvent *hdrhistogram.Histogram // microseconds
	stages     map[string]*StageCost   // sums by stage name
	stageNames []string                // stage names in the order of first occurrence
}

func newTally(step int, offered float64) *tally {
	return &tally{
		res:        Result{Step: step, Offered: offered},
		latency:    hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		firstEvent: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		stages:     make(map[string]*StageCost),
	}
}

func (t *tally) addSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Skipped++
}

// addOutcome counts an outcome; inTime tells whether it came within the deadline.
func (t *tally) addOutcome(o outcome, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Sent++
	t.res.Tokens += o.tokens
	if o.firstEventDelay > 0 {
		t.firstEvent.RecordValue(o.firstEventDelay.Microseconds())
	}
	switch o.result {
	case complete:
		t.latency.RecordValue(min(o.elapsed, maxLatency).Microseconds())
		t.addCosts(o.stages)
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

// addCosts adds the stages of one response to the sums. The caller holds mu.
func (t *tally) addCosts(stages []stage) {
	for _, s := range stages {
		c := t.stages[s.Name]
		if c == nil {
			c = &StageCost{Name: s.Name}
			t.stages[s.Name] = c
			t.stageNames = append(t.stageNames, s.Name)
		}
		c.Calls++
		c.Attempts += s.Attempts
		c.MeanBusy += s.BusyTime.Seconds()
	}
}

// result returns the figures of the outcomes so far.
func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.res
	if due := r.Sent + r.Skipped; due > 0 {
		r.Attainment = float64(r.Answered) / float64(due)
	}
	r.Latency = quantilesOf(t.latency)
	r.FirstEvent = quantilesOf(t.firstEvent)
	for _, name := range t.stageNames {
		c := *t.stages[name]
		c.MeanBusy /= float64(c.Calls)
		r.Stages = append(r.Stages, c)
	}
	return r
}

// quantilesOf returns the quantiles of a histogram of microseconds.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}
