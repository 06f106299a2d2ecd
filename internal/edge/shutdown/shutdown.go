// Package shutdown ends the work that an instance cannot finish before it stops, so that each request
// is answered while the instance still can.
//
// Each piece of work says how much time it needs before the end of the instance: a request that waits
// needs the time that an endpoint would take, one that was sent only the time for an answer. It ends
// once less is left. The package has no clock: whoever stops the instance reports what is left.
package shutdown

// This file defines Shutdown.

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"
)

// ErrStopping is the cause with which work ends that the instance cannot finish.
var ErrStopping = errors.New("the instance stops before this could be finished")

// unlimited is what is left to an instance that is not stopping.
const unlimited = time.Duration(math.MaxInt64)

// Shutdown ends work when the instance stops. It is safe for concurrent use.
type Shutdown struct {
	mu   sync.Mutex
	left time.Duration
	work map[*work]struct{}
}

type work struct {
	estimate func() time.Duration // of the need; nil once it was called
	need     time.Duration
	end      context.CancelCauseFunc
}

// endIfLate ends the work if it needs more time than is left, and reports whether it did.
func (w *work) endIfLate(left time.Duration) bool {
	if w.estimate != nil {
		w.need, w.estimate = w.estimate(), nil
	}
	if left >= w.need {
		return false
	}
	w.end(ErrStopping)
	return true
}

// New returns the Shutdown of an instance that is not stopping.
func New() *Shutdown { return &Shutdown{left: unlimited, work: make(map[*work]struct{})} }

// Limit returns a context that ends, with ErrStopping as its cause, once less time is left until the
// instance has stopped than need returns, which is called once and only if the instance is stopping.
// The function release lifts that limit without ending the context, and must be called once the work
// is done.
func (s *Shutdown) Limit(ctx context.Context, need func() time.Duration) (limited context.Context, release func()) {
	limited, end := context.WithCancelCause(ctx)
	w := &work{estimate: need, end: end}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left != unlimited && w.endIfLate(s.left) {
		return limited, func() {}
	}
	s.work[w] = struct{}{}
	return limited, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.work, w)
	}
}

// Advance reports how much time is left until the instance has stopped, and ends the work that needs
// more.
func (s *Shutdown) Advance(left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = left
	for w := range s.work {
		if w.endIfLate(left) {
			delete(s.work, w)
		}
	}
}

// Left returns how much time is left until the instance has stopped, and false if it is not stopping.
func (s *Shutdown) Left() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left, s.left != unlimited
}
