// Package store stands in for the platform's rate-limited weight store.
package store

// This file defines Store.

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Store gives bytes to all loading engines together at one rate.
type Store struct {
	limiter *rate.Limiter
}

// A load is taken in pieces, so that two loads share the rate.
const piece = 20 * time.Millisecond

// New returns a store that gives perSecond bytes a second.
func New(perSecond int64) *Store {
	burst := max(1, int(float64(perSecond)*piece.Seconds()))
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Load returns when size bytes were given, or with the error of ctx.
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
