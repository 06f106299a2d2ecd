package demo

// This file works out the figures and checks the promises.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
)

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Stage is the cost of one stage.
type Stage struct {
	Name  string  `json:"name"`
	Calls int     `json:"calls"`
	Busy  float64 `json:"busy"` // seconds of endpoints
	Cost  float64 `json:"cost"` // busy seconds at the price of each endpoint
}

// Result is what a run showed.
type Result struct {
	Deployment string            `json:"deployment"`
	Seed       uint64            `json:"seed"`
	Seconds    float64           `json:"seconds"`
	Requests   int               `json:"requests"`
	Answered   int               `json:"answered"`   // whole, its own and within the deadline
	Attainment float64           `json:"attainment"` // share of requests answered
	Refused    map[int]int       `json:"refused"`    // requests by result code
	Lost       int               `json:"lost"`       // wrong or cut, which the run did not cause
	Doubled    int               `json:"doubled"`    // non-idempotent calls that ran more than once
	Cut        int               `json:"cut"`        // cut off by a graceful stop
	Killed     int               `json:"killed"`     // first tries whose connection the run killed
	Latency    Latency           `json:"latency"`
	First      Latency           `json:"first"` // until the first token of streams
	Stages     []Stage           `json:"stages"`
	Emptied    float64           `json:"emptied"` // seconds until the emptied data centre got its last new request
	Force      float64           `json:"force"`   // seconds until the change was in force everywhere
	Stop       float64           `json:"stop"`    // seconds of the graceful stop
	Use        int               `json:"use"`     // highest use of the lowered cap
	Cap        int               `json:"cap"`
	Broken     []audit.Violation `json:"broken,omitempty"`
}

func (d *driver) result(took time.Duration) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Result{
		Deployment: d.options.Deployment, Seed: d.options.Seed, Seconds: took.Seconds(),
		Requests: len(d.visits), Refused: make(map[int]int), Killed: d.ignored, Cap: lowCap,
		Force: d.marks.inForce.Sub(d.marks.published).Seconds(), Stop: d.marks.stopped.Seconds(),
	}
	d.count(&r)
	r.Attainment = float64(r.Answered) / float64(max(1, r.Requests))
	r.Stages = d.stages()
	d.check(&r)
	return r
}

func (d *driver) count(r *Result) {
	took, first := newHistogram(), newHistogram()
	for _, v := range d.visits {
		switch v.Verdict {
		case caller.Answered:
			r.Answered++
			took.RecordValue(v.Elapsed.Microseconds())
			if v.FirstToken > 0 {
				first.RecordValue(v.FirstToken.Microseconds())
			}
		case caller.Refused:
			r.Refused[v.Code]++
		case caller.Wrong, caller.Truncated, caller.NoResponse:
			r.Lost++
			if v.daemon == 0 && v.Verdict != caller.Wrong {
				r.Cut++
			}
		case caller.Overdue, caller.Failed:
		default:
			panic("demo: got verdict " + string(v.Verdict) + ", want one that is known")
		}
	}
	r.Latency, r.First = latencyOf(took), latencyOf(first)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// stages sums the executions by the stage's name, or the service of a plain call.
func (d *driver) stages() []Stage {
	sums := make(map[string]*Stage)
	var order []string
	for _, e := range d.fleet.Ledger.Entries() {
		row := d.table.Endpoint(e.Endpoint)
		s := sums[row.Role]
		if s == nil {
			s = &Stage{Name: row.Role}
			sums[row.Role] = s
			order = append(order, row.Role)
		}
		s.Calls++
		s.Busy += e.Busy.Seconds()
		s.Cost += e.Busy.Seconds() * row.Cost
	}
	out := make([]Stage, 0, len(order))
	for _, name := range order {
		out = append(out, *sums[name])
	}
	return out
}

func (d *driver) check(r *Result) {
	a := &audit.Audit{Entries: d.fleet.Ledger.Entries()}
	byRequest := make(map[string]string)
	for _, v := range d.visits {
		a.Outcomes = append(a.Outcomes, v.Outcome)
		byRequest[v.RequestID] = v.account
	}
	a.CheckRequests()
	for _, v := range a.Violations() {
		if v.Promise == audit.AtMostOnce {
			r.Doubled++
		}
	}
	leaving := func(name string) bool { return d.table.Endpoint(name).Centre == d.leaving() }
	last := a.CheckLeaving(leaving, d.marks.published.Add(emptyWithin))
	r.Emptied = max(0, last.Sub(d.marks.published).Seconds())
	isCapped := func(o caller.Outcome) bool { return byRequest[o.RequestID] == d.capped() }
	r.Use = a.CheckCap(isCapped, d.marks.inForce, lowCap)
	if r.Force > forceWithin.Seconds() {
		a.Add(audit.TableInForce, "in force after %.2f s, want %v", r.Force, forceWithin)
	}
	if r.Cut > 0 {
		a.Add(audit.Graceful, "%d requests were cut off", r.Cut)
	}
	r.Broken = a.Violations()
}
