package pace

// This file defines endpoint, which finds the pace of one endpoint.

import (
	"slices"
	"time"
)

const (
	// initialShare is the part of an endpoint's slots that it gets at first.
	initialShare = 1.0 / 16
	// slowerFactor is how many times as long as its fastest answers the answers of an endpoint may take
	// before it gets fewer requests.
	slowerFactor = 2.0
	sampleGain   = 0.25 // weight of a new answer in the moving average of their times
	minSamples   = 4    // answers before their times are compared, and before an endpoint counts as recovered
	// settleTime is how long an endpoint must answer without getting slower to count as recovered.
	settleTime = 2 * time.Second
	// maxTime is the time without a failure after which an endpoint counts as recovered, whatever its answers
	// take.
	maxTime    = 15 * time.Second
	flapWindow = time.Minute // in which returns are counted
	maxReturns = 4           // that make the growth slower
)

// endpoint is what is known of one endpoint of a service whose endpoints have to show their pace.
type endpoint struct {
	slots      int
	unanswered int
	absent     bool // not in use
	returns    *returns

	limited  bool // not recovered
	reason   Reason
	window   float64   // unanswered requests that it may have
	since    time.Time // of the last return or failure
	setback  time.Time // when the window was last reduced, or set
	answers  int       // since then
	mean     float64   // moving average of the time of answers since the return, relative to what was expected
	fastest  float64   // lowest mean since the return; zero until minSamples answers
	numMeans int
}

// numUnanswered returns the number of unanswered requests; zero of an endpoint that is not known.
func (e *endpoint) numUnanswered() int {
	if e == nil {
		return 0
	}
	return e.unanswered
}

// full reports whether the endpoint has as many unanswered requests as its pace allows. One that is not
// known has no limit.
func (e *endpoint) full() bool {
	return e != nil && e.limited && float64(e.unanswered)+1 > e.window
}

// returns holds when the processes of an endpoint last started or came back, and failed first.
type returns struct{ times []time.Time }

// add adds a return, and forgets those before flapWindow.
func (r *returns) add(now time.Time) {
	r.times = append(slices.DeleteFunc(r.times, func(at time.Time) bool { return now.Sub(at) >= flapWindow }), now)
	r.times = r.times[max(0, len(r.times)-maxReturns):]
}

// number returns how often the endpoint came back within flapWindow, up to maxReturns.
func (r *returns) number() int { return len(r.times) }

// before reports whether the last return was before the given time.
func (r *returns) before(at time.Time) bool {
	return len(r.times) == 0 || r.times[len(r.times)-1].Before(at)
}

// begin makes the endpoint show its pace from the start.
func (e *endpoint) begin(reason Reason, now time.Time) {
	e.returns.add(now)
	e.limited, e.reason, e.since, e.setback = true, reason, now, now
	e.answers, e.mean, e.fastest, e.numMeans = 0, 0, 0, 0
	e.window = 1
	if e.returns.number() == 1 {
		e.window = max(1, initialShare*float64(e.slots))
	}
}

// gain returns how much the window grows with an answer: by 1, so that it doubles with all answers to
// it, and by less at an endpoint that returned several times.
func (e *endpoint) gain() float64 { return 1 / float64(uint(1)<<max(0, e.returns.number()-1)) }

// answered records an answer that took the given multiple of the expected time.
func (e *endpoint) answered(ratio float64, sent, now time.Time) {
	e.answers++
	e.numMeans++
	if e.numMeans == 1 {
		e.mean = ratio
	}
	e.mean += sampleGain * (ratio - e.mean)
	if e.numMeans >= minSamples && (e.fastest == 0 || e.mean < e.fastest) {
		e.fastest = e.mean
	}
	if e.fastest == 0 || e.mean <= slowerFactor*e.fastest {
		e.window = min(e.window+e.gain(), float64(max(1, e.slots)))
	} else if !sent.Before(e.setback) {
		e.reduce(now)
	}
}

// failed records a request that the endpoint failed.
func (e *endpoint) failed(now time.Time) {
	e.reduce(now)
	e.since = now
}

func (e *endpoint) reduce(now time.Time) {
	e.window = max(1, e.window/2)
	e.setback, e.answers = now, 0
}

// recovered reports whether the endpoint has shown its pace. One that is slow but gets no slower under
// more requests is healthy.
func (e *endpoint) recovered(now time.Time) bool {
	settled := e.answers >= minSamples && now.Sub(e.setback) >= settleTime
	return settled || e.window >= float64(e.slots) && e.answers >= minSamples
}
