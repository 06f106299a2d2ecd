package demo

// This file defines Result, computes its figures and checks the promises to callers.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
)

// Latency holds latency quantiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Stage is the cost of one stage or plain service.
type Stage struct {
	Name  string  `json:"name"`
	Calls int     `json:"calls"`
	Busy  float64 `json:"busy"` // busy seconds, summed over the endpoints
	Cost  float64 `json:"cost"` // busy seconds weighted with the cost of each endpoint
}

// Result holds the figures of a run.
type Result struct {
	Deployment     string            `json:"deployment"`
	Seed           uint64            `json:"seed"`
	Seconds        float64           `json:"seconds"`
	Requests       int               `json:"requests"`
	Answered       int               `json:"answered"`   // with the complete result of the request, within the deadline
	Attainment     float64           `json:"attainment"` // answered requests, as a share of all
	Refused        map[int]int       `json:"refused"`    // requests by result code
	Lost           int               `json:"lost"`       // wrong, truncated or no response, not caused by a connection that the demo closed
	Doubled        int               `json:"doubled"`    // non-idempotent calls that ran more than once
	Cut            int               `json:"cut"`        // lost to the daemon that was stopped gracefully
	Killed         int               `json:"killed"`     // attempts whose connection the demo closed
	Latency        Latency           `json:"latency"`
	FirstToken     Latency           `json:"first"` // from the start of a streaming request to its first token
	Stages         []Stage           `json:"stages"`
	EmptiedAfter   float64           `json:"emptied"` // seconds from the table change to the last new request in the emptied data centre
	ActivationTime float64           `json:"force"`   // seconds from the table change until it was in force on all daemons
	StopTime       float64           `json:"stop"`    // duration of the graceful stop in seconds
	PeakUse        int               `json:"use"`     // highest concurrency of the account whose cap was lowered
	Cap            int               `json:"cap"`     // the lowered cap
	Broken         []audit.Violation `json:"broken,omitempty"`
}

func (d *driver) result(took time.Duration) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Result{
		Deployment: d.options.Deployment, Seed: d.options.Seed, Seconds: took.Seconds(),
		Requests: len(d.records), Refused: make(map[int]int), Killed: d.closedAttempts, Cap: loweredCap,
		ActivationTime: d.eventTimes.inForce.Sub(d.eventTimes.published).Seconds(), StopTime: d.eventTimes.stopDuration.Seconds(),
	}
	d.count(&r)
	r.Attainment = float64(r.Answered) / float64(max(1, r.Requests))
	r.Stages = d.stages()
	d.check(&r)
	return r
}

// count counts the verdicts and computes the latency quantiles of the answered requests.
func (d *driver) count(r *Result) {
	took, first := newHistogram(), newHistogram()
	for _, v := range d.records {
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
	r.Latency, r.FirstToken = latencyOf(took), latencyOf(first)
}

// newHistogram returns a histogram of microseconds up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// latencyOf returns the quantiles of a histogram of microseconds.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// stages sums the recorded executions by the role of their endpoint, which is the name of the stage or of the plain
// service, in the order of first execution.
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

// check audits the outcomes against the recorded executions and adds the violations to the result.
func (d *driver) check(r *Result) {
	a := &audit.Audit{Entries: d.fleet.Ledger.Entries()}
	accountByRequest := make(map[string]string)
	for _, v := range d.records {
		a.Outcomes = append(a.Outcomes, v.Outcome)
		accountByRequest[v.RequestID] = v.account
	}
	a.CheckRequests()
	for _, v := range a.Violations() {
		if v.Promise == audit.AtMostOnce {
			r.Doubled++
		}
	}
	leaving := func(name string) bool { return d.table.Endpoint(name).Centre == d.emptiedCentre() }
	last := a.CheckLeaving(leaving, d.eventTimes.published.Add(maxEmptyTime))
	r.EmptiedAfter = max(0, last.Sub(d.eventTimes.published).Seconds())
	isCapped := func(o caller.Outcome) bool { return accountByRequest[o.RequestID] == d.cappedAccount() }
	r.PeakUse = a.CheckCap(isCapped, d.eventTimes.inForce, loweredCap)
	if r.ActivationTime > maxActivationTime.Seconds() {
		a.Add(audit.TableInForce, "in force after %.2f s, want %v", r.ActivationTime, maxActivationTime)
	}
	if r.Cut > 0 {
		a.Add(audit.Graceful, "%d requests were cut off", r.Cut)
	}
	r.Broken = a.Violations()
}
