package forwarder

// This file sends orders to a coordinator that is another instance, and reports
// the progress of their requests to it.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	// maxSilence is how long orders stay with a coordinator that is alive but does not
	// answer polls. It leaves most requests time for another coordinator.
	maxSilence = 3 * time.Second
	// progressInterval is how long progress is collected before it is sent, so that
	// one message carries the progress of many requests.
	progressInterval = 25 * time.Millisecond
	progressTimeout  = time.Second // for one message
	// maxPendingProgress bounds the progress entries that wait to be sent to one
	// coordinator. Beyond it entries are dropped; the results are then freed when
	// they expire.
	maxPendingProgress = 4096
)

// remoteCoordinator is another instance that is or was the coordinator.
type remoteCoordinator struct {
	address  string
	ctx      context.Context // cancelled when the coordinator counts as lost
	cancel   context.CancelFunc
	inFlight atomic.Int64 // orders sent to it that it has not answered
	silent   atomic.Int64 // when the first of its latest failed polls failed, in Unix nanoseconds; zero if it answered the last one
	alive    atomic.Int64 // when its process last answered a ping after a failed poll, in Unix nanoseconds; zero for never

	mu       sync.Mutex
	started  []string                   // ids of orders whose inputs are no longer needed, to be sent
	ended    []string                   // ids of orders whose requests have left their engines, to be sent
	losses   []quarantine.Loss          // to be sent
	cleared  []quarantine.Clearance     // to be sent
	begun    map[origin.Origin][]uint64 // keys of streams, to be sent
	numBegun int
	flushing bool // whether a flush is scheduled
}

// remoteCoordinator returns the state kept for the instance at address. It creates a
// new one if there is none, or if that instance has been lost since.
func (f *Forwarder) remoteCoordinator(address string) *remoteCoordinator {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.coordinators[address]
	if c == nil || c.ctx.Err() != nil {
		c = &remoteCoordinator{address: address}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		f.coordinators[address] = c
	}
	return c
}

// errCoordinatorLost is returned for an order whose coordinator stopped answering
// polls before it had answered the order.
var errCoordinatorLost = errors.New("coordinator no longer answers polls")

// isLost reports whether the order should go to another coordinator after the
// error. A *fault.Fault is the coordinator's own answer and is final; any other error
// means that the coordinator gave no answer.
func isLost(err error) bool {
	var f *fault.Fault
	return !errors.As(err, &f)
}

// prepareRemotely sends an order to the coordinator and waits for its answer. If it
// fails, it reports the request as ended, in case the coordinator holds the order.
func (f *Forwarder) prepareRemotely(ctx context.Context, c *remoteCoordinator, r proxy.PrepareParams, id string) (proxy.Prepared, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	out := new(stagepb.Outcome)
	if err := f.call(ctx, c, method.StageOrder, encodeOrder(r, id), out); err != nil {
		f.report(c, nil, []string{id})
		return proxy.Prepared{}, err
	}
	return f.decodeOutcome(c, id, out)
}

// call makes one call to the coordinator. It is cancelled when the coordinator
// counts as lost.
func (f *Forwarder) call(ctx context.Context, c *remoteCoordinator, m method.Method, in, out message) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	_, err := f.transport.Call(callCtx, c.address, m, in, out)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.ctx.Err() != nil {
		return errCoordinatorLost
	}
	var unreachable *transport.UnreachableError
	if errors.As(err, &unreachable) {
		f.election.RecordFailure(c.address)
	}
	return err
}

// decodeOutcome returns the answer of the coordinator to an order. An error is a
// *fault.Fault.
func (f *Forwarder) decodeOutcome(c *remoteCoordinator, id string, out *stagepb.Outcome) (proxy.Prepared, error) {
	if err := decodeFault(out); err != nil {
		return proxy.Prepared{}, err
	}
	return proxy.Prepared{
		Inputs: out.Handles, PreferredEndpoint: out.Engine, Permitted: out.Permitted, Trial: out.Trial,
		Started: func() { f.report(c, []string{id}, nil) },
		Ended:   func() { f.report(c, nil, []string{id}) },
	}, nil
}

// decodeFault returns the fault of an outcome; nil for success.
func decodeFault(out *stagepb.Outcome) error {
	if out.Code == 0 {
		return nil
	}
	refusal := fault.New(code.Code(out.Code), "%s", out.Reason)
	refusal.RetryAfter = time.Duration(out.AfterMs) * time.Millisecond
	return refusal
}

// isAlive reports whether the coordinator's process answered a ping not long ago although
// it has not answered polls, for maxSilence at most: it is slow, but works on its orders.
func (c *remoteCoordinator) isAlive(now time.Time) bool {
	return now.Sub(time.Unix(0, c.alive.Load())) < election.LeaderTimeout && now.Sub(time.Unix(0, c.silent.Load())) < maxSilence
}

// report queues the progress of requests for the coordinator, by the ids of their
// orders, and schedules a flush if none is scheduled.
func (f *Forwarder) report(c *remoteCoordinator, started, ended []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.started)+len(c.ended) > maxPendingProgress {
		return
	}
	c.started = append(c.started, started...)
	c.ended = append(c.ended, ended...)
	f.scheduleFlush(c, progressInterval)
}

// reportLosses queues losses for the coordinator.
func (f *Forwarder) reportLosses(c *remoteCoordinator, losses []quarantine.Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(losses) == 0 || len(c.losses)+len(losses) > maxPendingProgress {
		return
	}
	c.losses = append(c.losses, losses...)
	f.scheduleFlush(c, progressInterval)
}

// reportClearance queues a clearance.
func (f *Forwarder) reportClearance(c *remoteCoordinator, cleared quarantine.Clearance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cleared) < maxPendingProgress {
		c.cleared = append(c.cleared, cleared)
		f.scheduleFlush(c, progressInterval)
	}
}

// scheduleFlush schedules a flush after the delay if none is scheduled. The caller holds the
// lock of c.
func (f *Forwarder) scheduleFlush(c *remoteCoordinator, delay time.Duration) {
	if !c.flushing {
		c.flushing = true
		time.AfterFunc(delay, func() { f.flushProgress(c) })
	}
}

// flushProgress sends the queued progress to the coordinator. If that fails, the
// entries are dropped.
func (f *Forwarder) flushProgress(c *remoteCoordinator) {
	c.mu.Lock()
	progress := &stagepb.News{Started: c.started, Ended: c.ended, Losses: encodeLosses(c.losses, time.Now()), Clearances: encodeClearances(c.cleared, time.Now()), Begun: encodeBegun(c.begun)}
	c.started, c.ended, c.losses, c.cleared, c.flushing = nil, nil, nil, nil, false
	c.begun, c.numBegun = nil, 0
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, progressTimeout)
	defer cancel()
	if _, err := f.transport.Call(ctx, c.address, method.StageNews, progress, new(stagepb.News)); err != nil {
		f.log.V(1).Info("progress not delivered to the coordinator: it frees the results when they expire",
			"leader", c.address, "requests", len(progress.Started)+len(progress.Ended), "losses", len(progress.Losses), "reason", err.Error())
		if len(progress.Begun) > 0 {
			f.origins.forgetKeeper(c.address)
		}
	}
}
