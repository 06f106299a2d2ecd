// Package weightstore simulates the platform's weight store, whose total read rate is
// limited.
package weightstore

// This file defines Store.

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Store limits the read rate of all engines together.
type Store struct {
	limiter *rate.Limiter
}

// chunkTime is the time that one chunk of a load takes at the full rate. Loads are
// split into chunks, so that concurrent loads share the rate.
const chunkTime = 20 * time.Millisecond

// New returns a store with a rate of perSecond bytes a second.
func New(perSecond int64) *Store {
	burst := max(1, int(float64(perSecond)*chunkTime.Seconds()))
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Load simulates reading size bytes: it returns after the time that they take, or
// with an error when ctx ends.
func (s *Store) Load(ctx context.Context, size int64) error {
	for size > 0 {
		n := min(size, int64(s.limiter.Burst()))
		if err := s.limiter.WaitN(ctx, int(n)); err != nil {
			return err
		}
		size -= n
	}
	return nil
}
