package proxy

// This file ends requests that this instance cannot serve before it stops.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

const (
	// answerTime is the time before the end of the instance in which the answers to all its requests
	// are written.
	answerTime = 250 * time.Millisecond
	// durationFactor times the mean duration of a service's calls covers nearly all of them.
	durationFactor = 2
	// relayTime is the time for the response of another instance that ends a request at its deadline.
	relayTime   = 200 * time.Millisecond
	minCallTime = 250 * time.Millisecond // that a request needs at an endpoint, if its service is quick or not known
	maxCallTime = 3 * time.Second        // the same if it is slow; a request then still has most of the grace period to be sent
)

// limit returns a context that ends when a stop of this instance leaves no more time to await an
// answer, and sets the one that ends when it leaves none to send the request.
func (x *exchange) limit(ctx context.Context) (awaiting context.Context, release func()) {
	awaiting, x.awaitAll = x.shutdown.Limit(ctx, func() time.Duration { return answerTime })
	waiting, releaseWaiting := x.shutdown.Limit(awaiting, x.callTime)
	x.waiting = waiting
	return awaiting, func() {
		releaseWaiting()
		x.awaitAll()
	}
}

// callTime returns how much time the request needs from its sending until its answer is written.
func (x *exchange) callTime() time.Duration {
	mean := x.dispatcher.MeanDuration(namesOf(x.index().Accepting(x.request.Service)))
	return answerTime + max(minCallTime, min(maxCallTime, durationFactor*mean))
}

// timeToRelay returns the time that another instance has to serve the request: until its deadline, or
// until a stop of this instance leaves no more time to await the response.
func (x *exchange) timeToRelay() time.Duration {
	left := time.Until(x.request.Deadline)
	if stopping, ok := x.shutdown.Left(); ok {
		return min(left, stopping-answerTime-relayTime)
	}
	return left
}

// isStopped reports whether the request cannot be sent any more because this instance stops.
func (x *exchange) isStopped() bool { return errors.Is(context.Cause(x.waiting), shutdown.ErrStopping) }

// stopFault returns the fault of a request that ended with an error as this instance stops.
func stopFault(err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	f = fault.New(code.NotReady, "this instance stops before the request could be served")
	f.RetryAfter = defaultRetryAfter
	return f
}
