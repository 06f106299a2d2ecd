package board

// This file defines Stat, Result and Load, and how results change a Stat.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Result is how one call to an endpoint ended.
type Result struct {
	Took   time.Duration
	First  time.Duration // until the first token; zero where nothing streamed
	Kind   failure.Kind  // zero for success
	Tokens int           // tokens generated
	Blocks []uint64      // blocks of the prompt, which the endpoint now holds; see prefix.Blocks
}

// Load is what an endpoint reports of itself.
type Load struct {
	Queue   int           // calls that wait
	Running int           // calls that run
	Slots   int           // calls that can run at once
	Age     time.Duration // age of the figures when they were received
}

// Stat is what is known of one endpoint.
type Stat struct {
	InFlight int           // own calls
	Latency  time.Duration // moving mean of whole calls; zero until one is done
	First    time.Duration // moving mean of the time to the first token; zero until known
	Failures int           // failures since the last success
	Errors   float64       // moving share of failed calls
	Calls    uint64        // calls that ended
	Started  time.Time     // when the last call began; zero for never
	Last     time.Time     // when the last call ended
	Limit    int           // most own calls in flight, from latency and failures

	Slots    int       // calls that the endpoint can run at once; zero until reported
	Load     int       // calls of all instances, waiting and running, at Reported
	Own      int       // own calls in flight at Reported
	Reported time.Time // the moment that the last load report describes

	starts int64 // sum of the start times of own calls in flight, nanoseconds
}

const (
	latencyGain = 1.0 / 8
	errorGain   = 1.0 / 8
)

// Age returns the mean time since own calls in flight were started.
func (s *Stat) Age(now time.Time) time.Duration {
	if s.InFlight <= 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - s.starts/int64(s.InFlight))
}

func (r *Row) start(now time.Time) {
	r.stat.InFlight++
	r.stat.starts += now.UnixNano()
	r.stat.Started = now
	r.history.add(now, r.stat.InFlight)
}

func (r *Row) done(res Result, now time.Time) {
	latency := res.First
	if latency == 0 {
		latency = res.Took
	}
	if res.Kind == 0 {
		r.ceiling.RecordSuccess(latency, r.stat.InFlight, now)
	} else {
		r.ceiling.RecordFailure(now)
	}
	r.stat.InFlight--
	r.stat.starts -= now.Add(-res.Took).UnixNano()
	r.history.add(now, r.stat.InFlight)
	r.stat.Last = now
	r.stat.Calls++
	r.learn(res)
}

func (r *Row) learn(res Result) {
	switch res.Kind {
	case 0:
		r.stat.Failures = 0
		r.stat.Errors -= errorGain * r.stat.Errors
		smooth(&r.stat.Latency, res.Took)
		if res.First > 0 {
			smooth(&r.stat.First, res.First)
		}
	case failure.Late:
		// The call was ended from here. It says only that it would have taken longer.
		if res.Took > r.stat.Latency {
			smooth(&r.stat.Latency, res.Took)
		}
	default:
		r.stat.Failures++
		r.stat.Errors += errorGain * (1 - r.stat.Errors)
	}
}

func smooth(mean *time.Duration, value time.Duration) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += time.Duration(latencyGain * float64(value-*mean))
}

func (r *Row) report(l Load, now time.Time) {
	at := now.Add(-l.Age)
	if at.Before(r.stat.Reported) {
		return
	}
	r.stat.Reported = at
	r.stat.Slots = l.Slots
	r.stat.Load = l.Queue + l.Running
	r.stat.Own = r.history.at(at)
}
