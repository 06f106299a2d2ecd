package endpointstats

// This file defines Stats, Result and Load, and how results and load reports change Stats.

import (
	"math"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Result is the outcome of one call to an endpoint.
type Result struct {
	Elapsed    time.Duration // from the start to the end of the call
	FirstToken time.Duration // time to the first token; zero if the answer was not streamed
	Kind       failure.Kind  // zero for success
	Tokens     int           // tokens generated
	Blocks     []uint64      // block hashes of the prompt, which the endpoint now has cached; see prefix.Blocks
}

// Load is a load report of an endpoint.
type Load struct {
	Queue   int           // calls waiting
	Running int           // calls running
	Slots   int           // calls that can run at once
	Age     time.Duration // age of the report when this instance received it
	// Slowdown is how long work takes on the endpoint's host at the moment, relative to the usual; zero
	// if the endpoint does not say.
	Slowdown float64
}

// Stats are the statistics of one endpoint. "Own" calls are those of this
// instance, as opposed to those of all instances that use the endpoint.
type Stats struct {
	InFlight   int           // own calls in flight
	Latency    time.Duration // moving average of the duration of calls; zero until a call ends
	FirstToken time.Duration // moving average of the time to the first token; zero until a streamed call ends
	Failures   int           // consecutive failures since the last success
	ErrorRate  float64       // moving average of the share of failed calls, 0 to 1
	Calls      uint64        // calls that ended, failed ones included
	LastStart  time.Time     // start of the most recent call; zero if there was none
	LastEnd    time.Time     // end of the call that ended last; zero if none has ended
	Limit      int           // adaptive limit on own calls in flight, from latency and failures; see package concurrency

	Slots        int       // calls that the endpoint can run at once; zero until it has reported
	ReportedLoad int       // calls of all instances, waiting and running, at ReportedAt
	OwnAtReport  int       // own calls in flight at ReportedAt
	ReportedAt   time.Time // time that the newest load report describes; zero if there was none
	Slowdown     float64   // of the newest load report; zero if it named none

	// BaseLatency is Latency without the slowdowns that the endpoint reported, and UsualSlowdown the moving average
	// of these. Both are zero for an endpoint that reports none.
	BaseLatency   time.Duration
	UsualSlowdown float64

	startSum int64 // sum of the start times of own calls in flight, nanoseconds since the epoch
}

// Weights of a new sample in the moving averages.
const (
	latencyGain = 1.0 / 8
	errorGain   = 1.0 / 8
	slowGain    = 1.0 / 8
)

// memory is the time without an ended call after which latencies and failures are no longer known, so that no
// endpoint is avoided for ever for what it was once.
const memory = 20 * time.Second

// slowdownHalfLife is the age at which half of a reported slowdown's deviation from the usual one is forgotten: it
// changes several times a second.
const slowdownHalfLife = 300 * time.Millisecond

// IsOld reports whether no call has ended for so long that the latency and failures are no longer known.
func (s *Stats) IsOld(now time.Time) bool { return now.Sub(s.LastEnd) > memory }

// forget forgets the latencies and failures.
func (s *Stats) forget() {
	s.Latency, s.FirstToken, s.BaseLatency, s.UsualSlowdown, s.Slowdown = 0, 0, 0, 0, 0
	s.Failures, s.ErrorRate = 0, 0
}

// LatencyAt returns the latency that a call would have now, or zero if it is not known. For an endpoint that reports how slow it is at the
// moment, it differs from the moving average as long as the report is fresh.
func (s *Stats) LatencyAt(now time.Time) time.Duration {
	if s.IsOld(now) {
		return 0
	}
	if s.BaseLatency == 0 {
		return s.Latency
	}
	return time.Duration(float64(s.BaseLatency) * s.slowdownAt(now))
}

// slowdownAt returns the expected slowdown.
func (s *Stats) slowdownAt(now time.Time) float64 {
	if s.Slowdown == 0 {
		return s.UsualSlowdown
	}
	fresh := math.Exp2(-max(0, now.Sub(s.ReportedAt).Seconds()) / slowdownHalfLife.Seconds())
	return s.UsualSlowdown + fresh*(s.Slowdown-s.UsualSlowdown)
}

// InFlightAge returns the mean time that the own calls now in flight have been
// running, or zero if there are none.
func (s *Stats) InFlightAge(now time.Time) time.Duration {
	if s.InFlight <= 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - s.startSum/int64(s.InFlight))
}

func (e *Entry) start(now time.Time) {
	e.stats.InFlight++
	e.stats.startSum += now.UnixNano()
	e.stats.LastStart = now
	e.history.add(now, e.stats.InFlight)
}

// cancel ends a call that was not sent. It says nothing about the endpoint.
func (e *Entry) cancel(started, now time.Time) {
	e.stats.InFlight--
	e.stats.startSum -= started.UnixNano()
	e.history.add(now, e.stats.InFlight)
}

func (e *Entry) done(res Result, now time.Time) {
	// The adaptive limit takes the time to the first token of a streamed answer as its latency.
	latency := res.FirstToken
	if latency == 0 {
		latency = res.Elapsed
	}
	if res.Kind == 0 {
		e.adaptiveLimit.RecordSuccess(latency, e.stats.InFlight, now)
	} else {
		e.adaptiveLimit.RecordFailure(now)
	}
	e.stats.InFlight--
	e.stats.startSum -= now.Add(-res.Elapsed).UnixNano()
	e.history.add(now, e.stats.InFlight)
	if e.stats.IsOld(now) {
		e.stats.forget()
	}
	e.stats.LastEnd = now
	e.stats.Calls++
	e.updateAverages(res, now)
}

// updateAverages updates the latency and failure statistics.
func (e *Entry) updateAverages(res Result, now time.Time) {
	switch res.Kind {
	case 0:
		e.stats.Failures = 0
		e.stats.ErrorRate -= errorGain * e.stats.ErrorRate
		smooth(&e.stats.Latency, res.Elapsed)
		e.smoothBase(res.Elapsed, now)
		if res.FirstToken > 0 {
			smooth(&e.stats.FirstToken, res.FirstToken)
		}
	case failure.Late:
		// The deadline or the caller ended the call, so it does not count as a
		// failure of the endpoint, and Elapsed is only a lower bound of the latency.
		if res.Elapsed > e.stats.Latency {
			smooth(&e.stats.Latency, res.Elapsed)
			e.smoothBase(res.Elapsed, now)
		}
	default:
		e.stats.Failures++
		e.stats.ErrorRate += errorGain * (1 - e.stats.ErrorRate)
	}
}

// smoothBase adds a latency to the moving average of those without slowdowns.
func (e *Entry) smoothBase(latency time.Duration, now time.Time) {
	if slowdown := e.stats.slowdownAt(now); slowdown > 0 {
		smooth(&e.stats.BaseLatency, time.Duration(float64(latency)/slowdown))
	}
}

// smooth adds a value to an exponentially weighted moving average.
func smooth(mean *time.Duration, value time.Duration) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += time.Duration(latencyGain * float64(value-*mean))
}

func (e *Entry) report(l Load, now time.Time) {
	at := now.Add(-l.Age)
	if at.Before(e.stats.ReportedAt) {
		return
	}
	e.stats.ReportedAt = at
	e.stats.Slots = l.Slots
	e.stats.ReportedLoad = l.Queue + l.Running
	e.stats.OwnAtReport = e.history.at(at)
	e.stats.Slowdown = l.Slowdown
	if e.stats.UsualSlowdown == 0 {
		e.stats.UsualSlowdown = l.Slowdown
	}
	if l.Slowdown > 0 {
		e.stats.UsualSlowdown += slowGain * (l.Slowdown - e.stats.UsualSlowdown)
	}
}
