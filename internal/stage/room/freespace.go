// Package room estimates how many bytes of results an endpoint can still take.
//
// It answers endpoints whose room is little more than the results of one call,
// and that hold results of others as well: of instances that cannot reach this
// one, or of processes that are gone and never free them. A call that asks for
// more than fits works for the pieces that fit, and the others have waited for
// nothing. A Room has no clock and does no input or output.
package room

// This file defines Room.

import (
	"math"
	"time"
)

const (
	// share of an endpoint's room that is used, since sizes are known roughly.
	share = 0.9
	// halfLife is the time in which half of what others were seen to hold is
	// taken for freed: that of a call of a later stage, which takes it.
	halfLife = 500 * time.Millisecond
)

// Room is what one instance knows of the room at one endpoint. Its caller holds
// the lock.
type Room struct {
	held   int64   // bytes of this instance's results, those being made included
	others float64 // bytes that others held
	at     time.Time
}

// Hold counts results that will lie at the endpoint.
func (r *Room) Hold(bytes int64) { r.held += bytes }

// Free counts results that do not lie there any more, or were not made.
func (r *Room) Free(bytes int64) { r.held -= bytes }

// Full records that the endpoint, which has room for so many bytes, had none
// for a result that has been counted as not made.
func (r *Room) Full(size int64, now time.Time) {
	r.others, r.at = max(0, float64(size-r.held)), now
}

// Left returns how many bytes fit, of the size of the endpoint's room. It may
// be negative.
func (r *Room) Left(size int64, now time.Time) int64 {
	others := r.others * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
	return int64(share*float64(size)-others) - r.held
}
