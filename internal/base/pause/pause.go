// Package pause provides waits that a context ends early.
package pause

// This file defines For and Jitter.

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits and reports false once ctx has ended.
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

// Jitter returns half of d to one and a half of it, evenly. D must be above zero.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
