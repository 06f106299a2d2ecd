package daemon

// This file defines the graceful stop.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
)

const (
	mostDrains   = 4 // drain times at most, where requests keep coming
	stopPoll     = 20 * time.Millisecond
	stopLogEvery = time.Second
	flushWait    = 50 * time.Millisecond // for the last answers to peers to leave
)

// Stop ends the daemon gracefully: it turns unready, accepts requests until the
// balancer has noticed, and returns when all in flight are answered: streams,
// calls under its tickets and calls of peers. It waits for unused tickets as
// long again as for the balancer. The error says that ctx ended before. A
// second call waits for the first.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		d.awaitStop(ctx)
		return ctx.Err()
	}
	defer close(d.stopped)
	drain := d.config.Bounds.Drain.Duration()
	d.desk.LimitLife(drain)
	d.log.Info("stopping: unready", "drain", d.config.Bounds.Drain)
	d.waitUnnoticed(ctx, drain)
	unused := time.Now().Add(drain)
	done := make(chan error, 1)
	go func() { done <- d.callers.Shutdown(ctx) }()
	if err := d.waitIdle(ctx, unused); err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	d.log.Info("stopping: idle", "forgotten", d.desk.Unused())
	d.limits.Wait()
	pause.For(ctx, flushWait)
	return ctx.Err()
}

// waitUnnoticed accepts requests for the drain time, and on while they keep
// coming, since a balancer that still sends has not noticed.
func (d *Daemon) waitUnnoticed(ctx context.Context, drain time.Duration) {
	latest := time.Now().Add(mostDrains * drain)
	pause.For(ctx, drain)
	for ctx.Err() == nil && time.Now().Before(latest) {
		silent := time.Since(time.Unix(0, d.arrived.Load()))
		if silent >= drain/2 {
			return
		}
		pause.For(ctx, drain/2-silent)
	}
}

// awaitStop returns when a graceful stop that is under way has ended: peers are
// answered until then, though callers no longer are.
func (d *Daemon) awaitStop(ctx context.Context) {
	if !d.stopping.Load() {
		return
	}
	select {
	case <-d.stopped:
	case <-ctx.Done():
	}
}

// waitIdle returns once nothing is in flight, and logs what it waits for.
func (d *Daemon) waitIdle(ctx context.Context, unusedUntil time.Time) error {
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	var logged time.Time
	for {
		flights, running, peers := d.flights.Load(), d.desk.Running(), d.transport.ActiveCalls()
		unused := 0
		if time.Now().Before(unusedUntil) {
			unused = d.desk.Unused()
		}
		if flights == 0 && running == 0 && peers == 0 && unused == 0 {
			return nil
		}
		if time.Since(logged) >= stopLogEvery {
			logged = time.Now()
			d.log.Info("stopping: waiting", "flights", flights, "tickets", running, "peers", peers, "unused", unused)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
