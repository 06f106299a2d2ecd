// Package freespace estimates how many bytes of results an endpoint can still
// hold.
//
// An endpoint's space may be little more than the results of one call, and it also
// holds results that this instance does not know of: those of instances that
// cannot reach this one, and those of processes that ended without freeing them.
// If a call carries more pieces than fit, the endpoint executes those that fit and
// the others have to be queued again. An Estimator reads no clock and does no I/O.
package freespace

// This file defines Estimator.

import (
	"math"
	"time"
)

const (
	// usableShare is the share of an endpoint's space that is used. The rest is
	// kept free because the sizes of results are known only roughly.
	usableShare = 0.9
	// minHalfLife is the time after which half of the results that others held is at
	// first assumed to be freed. It is about the duration of a call of a later stage,
	// which consumes such results.
	minHalfLife = 500 * time.Millisecond
	// maxHalfLife is that time for results which nobody frees, so that they stay until
	// the endpoint drops them after some seconds.
	maxHalfLife = 2 * time.Second
	// reportWindow is the number of half-lives within which one more report means that
	// the results were not freed as assumed.
	reportWindow = 2
)

// Estimator is one instance's estimate for one endpoint. The zero value is ready
// for use. It is not safe for concurrent use: the caller holds a lock.
type Estimator struct {
	held     int64   // bytes of this instance's results, including those of calls in flight
	others   float64 // bytes of results of others, at the time at
	at       time.Time
	halfLife time.Duration // of others; zero if there was no report
}

// Reserve counts results that a call will leave at the endpoint.
func (e *Estimator) Reserve(bytes int64) { e.held += bytes }

// Release counts results that the endpoint no longer holds, or that it did not
// produce.
func (e *Estimator) Release(bytes int64) { e.held -= bytes }

// ReportFull records that the endpoint, which can hold size bytes, had no space for
// a result. The caller must have released that result before: what then remains
// unaccounted for is taken to be held by others. The half-life of their results is
// doubled if they should have been freed by now.
func (e *Estimator) ReportFull(size int64, now time.Time) {
	switch {
	case now.Equal(e.at): // another piece of the same call
	case now.Sub(e.at) < reportWindow*e.halfLife:
		e.halfLife = min(maxHalfLife, 2*e.halfLife)
	default:
		e.halfLife = minHalfLife
	}
	e.others, e.at = max(0, float64(size-e.held)), now
}

// Available returns how many more bytes of results fit at the endpoint, which can
// hold size bytes. It may be negative.
func (e *Estimator) Available(size int64, now time.Time) int64 { return e.Usable(size, now) - e.held }

// Usable returns how many bytes of results of this instance fit at the endpoint, which can hold
// size bytes: those that it holds and those that it may still hold. It may be negative.
func (e *Estimator) Usable(size int64, now time.Time) int64 {
	others := 0.0
	if e.halfLife > 0 {
		others = e.others * math.Exp2(-now.Sub(e.at).Seconds()/e.halfLife.Seconds())
	}
	return Whole(size) - int64(others)
}

// Whole returns how many bytes of results fit at an endpoint that can hold size bytes and holds no results of
// others.
func Whole(size int64) int64 { return int64(usableShare * float64(size)) }
