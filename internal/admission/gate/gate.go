// Package gate bounds the work that waits for a processor: callers pass one at a time, and those that
// would wait too long are refused at once. Without it, hundreds of goroutines that are ready compete with the few
// short ones on which other instances wait, and all are late.
package gate

// This file defines Gate and Refusal.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// timeGain is the weight of one passage in the moving mean of the time that it takes.
	timeGain = 0.05
	// retrySpread multiplies the wait that is too long: refused callers return within as many of them.
	retrySpread = 6
)

// Gate lets callers pass one at a time. It is safe for concurrent use.
type Gate struct {
	maxWait time.Duration
	turn    chan struct{} // holds a value while a caller passes; waiting senders are served in order

	mu      sync.Mutex
	waiting int           // callers that wait or pass
	mean    time.Duration // moving mean of the time of a passage
}

// Refusal is the error of a caller that would wait too long.
type Refusal struct {
	Wait       time.Duration // that was expected
	RetryAfter time.Duration
}

var _ error = (*Refusal)(nil)

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("got a wait of %s for the processor", r.Wait) }

// New returns a gate at which callers wait for at most maxWait.
func New(maxWait time.Duration) *Gate {
	return &Gate{maxWait: maxWait, turn: make(chan struct{}, 1)}
}

// Enter waits for the caller's turn. The caller calls leave when its passage is over. The error is a *Refusal or
// that of the context.
func (g *Gate) Enter(ctx context.Context) (leave func(), err error) {
	arrived := time.Now()
	if wait := g.join(); wait > g.maxWait {
		return nil, g.refuse(wait)
	}
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		g.depart()
		return nil, ctx.Err()
	}
	start := time.Now()
	if wait := start.Sub(arrived); wait > g.maxWait {
		<-g.turn
		return nil, g.refuse(wait)
	}
	return func() {
		g.record(time.Since(start))
		<-g.turn
		g.depart()
	}, nil
}

// join counts a caller and returns the wait that is expected for it.
func (g *Gate) join() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting++
	return time.Duration(g.waiting-1) * g.mean
}

func (g *Gate) depart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
}

func (g *Gate) record(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A process that stood still is no measure of a passage.
	g.mean += time.Duration(timeGain * float64(min(took, g.maxWait)-g.mean))
}

func (g *Gate) refuse(wait time.Duration) *Refusal {
	g.depart()
	return &Refusal{Wait: wait, RetryAfter: wait + time.Duration(rand.Float64()*retrySpread*float64(g.maxWait))}
}
