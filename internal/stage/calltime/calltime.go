// Package calltime learns how long the pieces of a service take, from the durations of the calls that
// carried them.
//
// The catalog names one approximate time for all pieces of a service, whose stages may differ by a
// factor of three. The package does no I/O; its callers serialize all calls.
package calltime

// This file defines Estimator and Kind.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

const (
	pieceGain = 0.1  // part of the error of a prediction by which the times of its pieces are corrected
	meanGain  = 0.05 // weight of a call in the mean time of a piece
	// maxDeviation is the greatest ratio of a duration to its prediction that is learned from: a longer
	// call had a slow endpoint.
	maxDeviation = 1.5
	maxFactor    = 8  // limit of the ratio of a learned time to that of the catalog, either way
	maxKinds     = 64 // kinds with a time of their own; pieces of any further kind take that of the catalog
)

// Kind identifies pieces that take about the same time: those of a stage.
type Kind struct {
	Bytes int64 // size of a result
	First bool  // whether the stage depends on no other
}

// Estimator predicts the durations of the calls of one service. It is not safe for concurrent use.
type Estimator struct {
	times map[Kind]float64 // relative to the time of the catalog
	mean  float64          // of the pieces executed lately, relative to the time of the catalog
}

// New returns an estimator that knows only the catalog.
func New() *Estimator { return &Estimator{times: make(map[Kind]float64), mean: 1} }

// Call returns the predicted duration of a call with the given numbers of pieces.
func (e *Estimator) Call(b *catalog.Batch, pieces map[Kind]int) time.Duration {
	return b.CallOverhead + time.Duration(e.units(pieces)*float64(b.PieceTime))
}

// units returns the predicted time of pieces in times of the catalog.
func (e *Estimator) units(pieces map[Kind]int) float64 {
	sum := 0.0
	for k, n := range pieces {
		sum += float64(n) * e.time(k)
	}
	return sum
}

func (e *Estimator) time(k Kind) float64 {
	if t, ok := e.times[k]; ok {
		return t
	}
	return 1
}

// Batch returns the parameters of the catalog with the mean time of the pieces executed lately.
func (e *Estimator) Batch(b *catalog.Batch) catalog.Batch {
	learned := *b
	learned.PieceTime = time.Duration(e.mean * float64(b.PieceTime))
	return learned
}

// Record records the duration of a call. Corrections are shared out by the number of pieces of each kind.
func (e *Estimator) Record(b *catalog.Batch, pieces map[Kind]int, took time.Duration) {
	predicted := e.Call(b, pieces)
	if b.PieceTime <= 0 || float64(took) > maxDeviation*float64(predicted) {
		return
	}
	count, squares := 0, 0
	for _, n := range pieces {
		count += n
		squares += n * n
	}
	if count == 0 {
		return
	}
	residual := float64(took-predicted) / float64(b.PieceTime)
	for k, n := range pieces {
		if _, known := e.times[k]; !known && len(e.times) >= maxKinds {
			continue
		}
		corrected := e.time(k) + pieceGain*residual*float64(n)/float64(squares)
		e.times[k] = max(1.0/maxFactor, min(maxFactor, corrected))
	}
	e.mean += meanGain * (e.units(pieces)/float64(count) - e.mean)
}
