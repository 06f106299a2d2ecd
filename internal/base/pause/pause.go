// Package pause provides a sleep that a context can interrupt, and random jitter
// for intervals.
package pause

// This file defines For and Jitter.

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for d and returns true. It returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a duration that is uniformly distributed from 0.5 d to 1.5 d. d
// must be positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
