package scheduler

// This file measures rates.

import (
	"math"
	"time"
)

const rateWindow = time.Second // time constant of a rate; spans several calls

// rate is a decaying mean of events per second.
type rate struct {
	value float64   // as of at
	at    time.Time // of the last event
}

// record counts n events.
func (r *rate) record(n int, now time.Time) {
	r.value = r.current(now) + float64(n)/rateWindow.Seconds()
	r.at = now
}

// current returns the rate, decayed to now.
func (r *rate) current(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
