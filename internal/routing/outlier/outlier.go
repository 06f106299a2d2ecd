// Package outlier provides outlier detection: it ejects for a time the endpoints
// whose error rate or latency is far above that of the other endpoints of their
// role, and never more than a given share of them at once. The package does no
// I/O; callers pass the time.
package outlier

// This file defines Detector and Sample.

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// An endpoint is ejected for its errors if its error rate is above
	// maxErrorRate and exceeds the median of the role by errorRateMargin.
	maxErrorRate    = 0.5
	errorRateMargin = 0.3
	// An endpoint is ejected for its latency if that is above latencyFactor times
	// the median of the role and exceeds the median by latencyMargin. The margin
	// keeps fast endpoints from being ejected over a few milliseconds.
	latencyFactor = 3.0
	latencyMargin = 100 * time.Millisecond

	minCalls      = 4               // finished calls that an endpoint needs before its first ejection
	minCallsAfter = 2               // finished calls that an ejected endpoint needs before it can be ejected again
	minEjection   = 5 * time.Second // duration of a first ejection; it doubles with each consecutive one
	maxEjection   = 60 * time.Second
	resetAfter    = 2 * time.Minute // an ejection that comes this long after the end of the last one counts as a first one
	minEndpoints  = 3               // endpoints needed for a comparison with the median
)

// Sample is the recent performance of an endpoint.
type Sample struct {
	Name      string
	Calls     uint64        // calls that ended since this instance started
	ErrorRate float64       // moving average of the share of failed calls, 0 to 1
	Latency   time.Duration // moving average; zero if unknown
}

// Detector keeps the ejections of the endpoints of one role. It is safe for
// concurrent use.
type Detector struct {
	lastEnd    atomic.Int64 // when the last of the current ejections ends, nanoseconds since the epoch
	mu         sync.RWMutex
	ejected    map[string]*ejection
	scratch    []float64
	candidates []candidate
}

type ejection struct {
	until time.Time
	times int    // consecutive ejections
	calls uint64 // Sample.Calls when the endpoint was ejected
}

type candidate struct {
	sample Sample
	excess float64 // see func excess
}

// New returns a detector without ejections.
func New() *Detector { return &Detector{ejected: make(map[string]*ejection)} }

// NoneEjected reports whether no endpoint is ejected now. It takes no lock.
func (d *Detector) NoneEjected(now time.Time) bool { return now.UnixNano() >= d.lastEnd.Load() }

// Ejected reports whether an endpoint is ejected now.
func (d *Detector) Ejected(name string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.ejected[name]
	return e != nil && now.Before(e.until)
}

// Update compares the endpoints of the role and ejects outliers, those furthest
// above their bounds first. At most share (0 to 1) of the endpoints are ejected
// at once, those from earlier updates included.
func (d *Detector) Update(samples []Sample, share float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	allowed := int(share*float64(len(samples))) - d.numEjected(samples, now)
	if allowed <= 0 || len(samples) < minEndpoints {
		return
	}
	latency, errorRate := d.medians(samples)
	d.candidates = d.candidates[:0]
	for _, s := range samples {
		if !d.canJudge(s, now) {
			continue
		}
		if x := excess(s, latency, errorRate); x > 1 {
			d.candidates = append(d.candidates, candidate{s, x})
		}
	}
	slices.SortStableFunc(d.candidates, func(a, b candidate) int { return cmp.Compare(b.excess, a.excess) })
	for _, c := range d.candidates[:min(allowed, len(d.candidates))] {
		d.eject(c.sample, now)
	}
}

func (d *Detector) numEjected(samples []Sample, now time.Time) int {
	n := 0
	for _, s := range samples {
		if e := d.ejected[s.Name]; e != nil && now.Before(e.until) {
			n++
		}
	}
	return n
}

// canJudge reports whether an endpoint can be ejected by Update: it is not ejected
// now and has finished enough calls, since its last ejection if there was one.
func (d *Detector) canJudge(s Sample, now time.Time) bool {
	e := d.ejected[s.Name]
	if e == nil {
		return s.Calls >= minCalls
	}
	return !now.Before(e.until) && s.Calls >= e.calls+minCallsAfter
}

// medians returns the median latency of the endpoints with a known one, and the
// median error rate of all.
func (d *Detector) medians(samples []Sample) (latency time.Duration, errorRate float64) {
	d.scratch = d.scratch[:0]
	for _, s := range samples {
		if s.Latency > 0 {
			d.scratch = append(d.scratch, float64(s.Latency))
		}
	}
	latency = time.Duration(median(d.scratch))
	d.scratch = d.scratch[:0]
	for _, s := range samples {
		d.scratch = append(d.scratch, s.ErrorRate)
	}
	return latency, median(d.scratch)
}

// median returns the lower median, or zero if there are no values. It sorts values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// excess returns the error rate or latency of an endpoint as a multiple of its
// bound, whichever is greater. A result above 1 marks an outlier.
func excess(s Sample, latency time.Duration, errorRate float64) float64 {
	x := s.ErrorRate / max(maxErrorRate, errorRate+errorRateMargin)
	if latency > 0 {
		bound := max(time.Duration(latencyFactor*float64(latency)), latency+latencyMargin)
		x = max(x, float64(s.Latency)/float64(bound))
	}
	return x
}

func (d *Detector) eject(s Sample, now time.Time) {
	e := d.ejected[s.Name]
	if e == nil || now.Sub(e.until) > resetAfter {
		e = new(ejection)
		d.ejected[s.Name] = e
	}
	duration := min(maxEjection, minEjection<<min(e.times, 10))
	e.times++
	e.until = now.Add(duration)
	d.lastEnd.Store(max(d.lastEnd.Load(), e.until.UnixNano()))
	e.calls = s.Calls
}
