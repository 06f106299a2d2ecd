package gathering

// This file defines Result and how it prints.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is what became of one load.
type Result struct {
	Classes  map[string]*Tally
	Calls    int // at endpoints
	Full     int // calls that held as many pieces as they can
	Pieces   int
	Unfit    int           // pieces that were asked for where they had no room
	Refusals int           // calls that found their endpoint full
	Busy     time.Duration // of all endpoints
	Waste    time.Duration // of endpoints, on requests that were not served
	Taken    int64         // bytes of results that pieces took
	Far      int64         // of these, from other data centres

	site Site
}

// Tally is what became of a class.
type Tally struct {
	Asked      int
	InTime     int
	Late       int
	Expired    int // after the deadline
	Refused    int // refusals, of first tries and of returns
	TurnedAway int // requests refused for good

	took  []time.Duration
	sizes []size
}

// size is how long the engine of one request reads, and whether it was served.
type size struct {
	first  time.Duration
	served bool
}

func newResult(s Site) *Result {
	r := &Result{Classes: make(map[string]*Tally), site: s}
	for _, c := range s.Classes {
		r.Classes[c.Name] = new(Tally)
	}
	return r
}

// Share returns the part of a class that was served in time.
func (t *Tally) Share() float64 { return float64(t.InTime) / max(1, float64(t.Asked)) }

// Served returns the part of a class that was served, and that of its tenth
// which engines read longest.
func (t *Tally) Served() (all, largest float64) {
	list := slices.Clone(t.sizes)
	slices.SortFunc(list, func(a, b size) int { return cmp.Compare(b.first, a.first) })
	served := func(part []size) float64 {
		n := 0
		for _, s := range part {
			if s.served {
				n++
			}
		}
		return float64(n) / max(1, float64(len(part)))
	}
	return served(list), served(list[:len(list)/10])
}

// Quantile returns the time to the first event that a share of the served
// requests did not exceed.
func (t *Tally) Quantile(share float64) time.Duration {
	if len(t.took) == 0 {
		return 0
	}
	all := sorted(t.took)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// Worth returns the worth of requests served in time, as a share of all.
func (r *Result) Worth() float64 {
	got, all := 0.0, 0.0
	for _, c := range r.site.Classes {
		t := r.Classes[c.Name]
		got += c.Worth * float64(t.InTime)
		all += c.Worth * float64(t.Asked)
	}
	return got / max(1, all)
}

// Batch returns the mean number of pieces in a call.
func (r *Result) Batch() float64 { return float64(r.Pieces) / max(1, float64(r.Calls)) }

// String returns one line.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f, %.1f pieces a call, %d calls (%d full, %d refused), waste %.0f s of %.0f s, %.2f GB from afar",
		r.Worth(), r.Batch(), r.Calls, r.Full, r.Refusals, r.Waste.Seconds(), r.Busy.Seconds(), float64(r.Far)/1e9)
	for _, c := range r.site.Classes {
		t := r.Classes[c.Name]
		fmt.Fprintf(&b, "; %s %.3f in time (late %d, expired %d, away %d; p50 %s, p95 %s)", c.Name, t.Share(), t.Late, t.Expired,
			t.TurnedAway, t.Quantile(0.5).Round(time.Millisecond), t.Quantile(0.95).Round(time.Millisecond))
	}
	return b.String()
}
