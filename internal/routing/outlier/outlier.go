// Package outlier finds the endpoints that fail or lag far behind the others
// of their role, and takes them out for a time, never more than a set share.
package outlier

// This file defines Detector and Sample.

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mostErrors  = 0.5                    // share of failed calls that ejects
	errorMargin = 0.3                    // how far the share must be above the median of the role
	slowFactor  = 3.0                    // times the median latency that ejects
	slowMargin  = 100 * time.Millisecond // least distance from the median latency
	leastCalls  = 4                      // ended calls before an endpoint is judged
	probes      = 2                      // new ended calls before a returned endpoint is judged again
	leastRest   = 5 * time.Second        // length of a first ejection
	mostRest    = 60 * time.Second
	forgiveness = 2 * time.Minute // time after a return that makes an ejection a first one again
	leastPeers  = 3               // endpoints needed for a comparison
)

// Sample is what is known of an endpoint when it is judged.
type Sample struct {
	Name    string
	Calls   uint64        // calls that ended since the start
	Errors  float64       // moving share of failed calls, 0 to 1
	Latency time.Duration // moving mean; zero when unknown
}

// Detector keeps the ejections of one role. It is safe for concurrent use.
type Detector struct {
	last    atomic.Int64 // end of the last ejection to end, nanoseconds
	mu      sync.RWMutex
	ejected map[string]*ejection
	scratch []float64
	ranked  []ranked
}

type ejection struct {
	until time.Time
	times int    // ejections in a row
	calls uint64 // ended calls at the time of the ejection
}

type ranked struct {
	sample Sample
	excess float64 // how many times over the bound
}

// New returns a detector that has ejected nothing.
func New() *Detector { return &Detector{ejected: make(map[string]*ejection)} }

// Quiet reports whether no endpoint is ejected now.
func (d *Detector) Quiet(now time.Time) bool { return now.UnixNano() >= d.last.Load() }

// Out reports whether an endpoint is ejected now.
func (d *Detector) Out(name string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.ejected[name]
	return e != nil && now.Before(e.until)
}

// Update judges the endpoints of the role. At most share of them are out at
// once, those furthest over their bound first.
func (d *Detector) Update(samples []Sample, share float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	room := int(share*float64(len(samples))) - d.out(samples, now)
	if room <= 0 || len(samples) < leastPeers {
		return
	}
	latency, errors := d.medians(samples)
	d.ranked = d.ranked[:0]
	for _, s := range samples {
		if !d.judged(s, now) {
			continue
		}
		if x := excess(s, latency, errors); x > 1 {
			d.ranked = append(d.ranked, ranked{s, x})
		}
	}
	slices.SortStableFunc(d.ranked, func(a, b ranked) int {
		if a.excess > b.excess {
			return -1
		}
		return 1
	})
	for _, r := range d.ranked[:min(room, len(d.ranked))] {
		d.eject(r.sample, now)
	}
}

func (d *Detector) out(samples []Sample, now time.Time) int {
	n := 0
	for _, s := range samples {
		if e := d.ejected[s.Name]; e != nil && now.Before(e.until) {
			n++
		}
	}
	return n
}

// judged reports whether enough is known of an endpoint that is not out.
func (d *Detector) judged(s Sample, now time.Time) bool {
	e := d.ejected[s.Name]
	if e == nil {
		return s.Calls >= leastCalls
	}
	return !now.Before(e.until) && s.Calls >= e.calls+probes
}

func (d *Detector) medians(samples []Sample) (latency time.Duration, errors float64) {
	d.scratch = d.scratch[:0]
	for _, s := range samples {
		if s.Latency > 0 {
			d.scratch = append(d.scratch, float64(s.Latency))
		}
	}
	latency = time.Duration(median(d.scratch))
	d.scratch = d.scratch[:0]
	for _, s := range samples {
		d.scratch = append(d.scratch, s.Errors)
	}
	return latency, median(d.scratch)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func excess(s Sample, latency time.Duration, errors float64) float64 {
	x := s.Errors / max(mostErrors, errors+errorMargin)
	if latency > 0 {
		bound := max(time.Duration(slowFactor*float64(latency)), latency+slowMargin)
		x = max(x, float64(s.Latency)/float64(bound))
	}
	return x
}

func (d *Detector) eject(s Sample, now time.Time) {
	e := d.ejected[s.Name]
	if e == nil || now.Sub(e.until) > forgiveness {
		e = new(ejection)
		d.ejected[s.Name] = e
	}
	rest := min(mostRest, leastRest<<min(e.times, 10))
	e.times++
	e.until = now.Add(rest)
	d.last.Store(max(d.last.Load(), e.until.UnixNano()))
	e.calls = s.Calls
}
