package daemon

// This file defines the graceful stop.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
)

const (
	// While requests keep arriving or are in flight, the daemon accepts more for at
	// most this many drain times, and for half of the grace period.
	maxDrainTimes    = 4
	maxUnreadTime    = 2 * time.Second // to read requests that have arrived, if the process gets little processor time
	stopPollInterval = 20 * time.Millisecond
	stopLogInterval  = time.Second
	maxAnswerTime    = time.Second           // left for the answers to requests that end with the grace period
	peerFlushTime    = 50 * time.Millisecond // for the last responses to peers to be sent
)

// Stop stops the daemon gracefully: it reports not ready, accepts requests until
// the load balancer has stopped sending them, and returns when everything in
// flight has ended: callers' requests with their streams, calls with tickets that
// this instance issued, and calls of peers. For tickets that are still unused it
// waits for at most another drain time. Stop returns the error of ctx if ctx ends
// before that. A second call waits for the first.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		d.waitForStop(ctx)
		return ctx.Err()
	}
	defer close(d.stopped)
	drain, grace := d.config.Bounds.DrainTime.Duration(), d.config.Bounds.GracePeriod.Duration()
	d.killTime.Store(time.Now().Add(grace).UnixNano())
	d.tickets.LimitUnused(drain)
	d.log.Info("stopping: reporting not ready, accepting requests until the load balancer stops sending them", "drain", d.config.Bounds.DrainTime)
	d.waitForLoadBalancer(ctx, drain, min(maxDrainTimes*drain, grace/2))
	unusedUntil := time.Now().Add(drain)
	done := make(chan error, 1)
	go func() { done <- d.callerServer.Stop(ctx, maxUnreadTime) }()
	if err := d.waitIdle(ctx, unusedUntil); err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	d.log.Info("stopping: nothing is in flight; unused tickets are forgotten", "forgotten", d.tickets.Unused())
	d.limits.Wait()
	pause.For(ctx, peerFlushTime)
	return ctx.Err()
}

// waitForLoadBalancer waits for the drain time, and then until no request has arrived for
// half of it: while requests keep arriving, the load balancer has not noticed yet
// that the instance is not ready. It also waits for requests in flight, since to accept
// others until they have ended delays nothing, and fewer cross the close of the
// listener and of idle connections. It waits for longest at most.
func (d *Daemon) waitForLoadBalancer(ctx context.Context, drain, longest time.Duration) {
	latest := time.Now().Add(longest)
	pause.For(ctx, drain)
	for ctx.Err() == nil && time.Now().Before(latest) {
		sinceLast := time.Since(time.Unix(0, d.lastRequest.Load()))
		if sinceLast >= drain/2 && d.inFlight.Load() == 0 {
			return
		}
		pause.For(ctx, max(stopPollInterval, drain/2-sinceLast))
	}
}

// answerEnd returns the time by which requests that arrive now must have been answered: shortly before the end
// of the grace period, when the process is killed. It is zero while the daemon is not stopping.
func (d *Daemon) answerEnd() time.Time {
	at := d.killTime.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at).Add(-min(maxAnswerTime, d.config.Bounds.GracePeriod.Duration()/8))
}

// waitForStop returns when a graceful stop that is in progress has ended. Until then
// peers are still served, though callers are not.
func (d *Daemon) waitForStop(ctx context.Context) {
	if !d.stopping.Load() {
		return
	}
	select {
	case <-d.stopped:
	case <-ctx.Done():
	}
}

// waitIdle returns nil once nothing is in flight and, until unusedUntil, no ticket
// is unused. It logs periodically what it waits for.
func (d *Daemon) waitIdle(ctx context.Context, unusedUntil time.Time) error {
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	var logged time.Time
	for {
		inFlight, running, peers := d.inFlight.Load(), d.tickets.Running(), d.transport.ActiveCalls()
		unused := 0
		if time.Now().Before(unusedUntil) {
			unused = d.tickets.Unused()
		}
		if inFlight == 0 && running == 0 && peers == 0 && unused == 0 {
			return nil
		}
		if time.Since(logged) >= stopLogInterval {
			logged = time.Now()
			d.log.Info("stopping: waiting for requests, calls with tickets, peer calls and unused tickets", "flights", inFlight, "tickets", running, "peers", peers, "unused", unused)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
