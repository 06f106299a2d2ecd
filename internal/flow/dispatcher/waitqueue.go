package dispatcher

// This file defines waitQueue, the calls that wait for one role and model.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

const (
	recheckPeriod = 200 * time.Millisecond // a waiting call tries to start if no call was woken for this time
	minRetryAfter = 250 * time.Millisecond // least time after which a refused caller is told to retry
)

// waitQueue holds the calls that wait for the endpoints of one role and model.
type waitQueue struct {
	queue    *queue.Queue[*waiter]
	rates    startRates
	lastWake atomic.Int64 // when a call was last woken, in nanoseconds of the Unix epoch
}

// waiter is one waiting call. Each of its channels has a buffer of one element.
type waiter struct {
	turn    chan struct{} // receives an element when the call may try to start
	evicted chan struct{} // receives an element when the call is evicted from a full queue
}

func (q *waitQueue) len() int { return q.queue.Len() }

// predictWait predicts how long one more call of an account would wait.
func (q *waitQueue) predictWait(account string, weight float64) time.Duration {
	return max(q.queue.PredictWait(account, weight), q.rates.predictWait(account))
}

// wakeNext lets the next waiting call try to start.
func (q *waitQueue) wakeNext(now time.Time) {
	if it := q.queue.Pop(now); it != nil {
		q.lastWake.Store(now.UnixNano())
		it.Value.turn <- struct{}{}
	}
}

// wakeIfStalled lets the next waiting call try to start if no call was woken within
// recheckPeriod. An endpoint can get free capacity without a call of this instance
// ending, for example when a call of another instance ends.
func (q *waitQueue) wakeIfStalled(now time.Time) {
	last := q.lastWake.Load()
	if now.UnixNano()-last >= recheckPeriod.Nanoseconds() && q.lastWake.CompareAndSwap(last, now.UnixNano()) {
		q.wakeNext(now)
	}
}

func (d *Dispatcher) queueFor(k queueKey) *waitQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[k]
	if q == nil {
		q = &waitQueue{queue: queue.New[*waiter](d.maxWaiting)}
		d.queues[k] = q
	}
	return q
}

// wakeWaiting lets one waiting call for each model of an endpoint try to start. It is
// called when a call on the endpoint has ended.
func (d *Dispatcher) wakeWaiting(e *endpoint.Endpoint) {
	now := time.Now()
	if len(e.Models) == 0 {
		d.queueFor(queueKey{e.Role, ""}).wakeNext(now)
		return
	}
	for _, m := range e.Models {
		d.queueFor(queueKey{e.Role, m}).wakeNext(now)
	}
}

// acquireQueued queues a call until it gets an endpoint or can no longer start in time.
func (d *Dispatcher) acquireQueued(ctx context.Context, q *waitQueue, c Call) (*Lease, error) {
	weight := weightOf(d.tables.Current(), c.Account)
	q.queue.Expire(time.Now()) // the expired calls need no wake-up: their contexts end at the same time
	if predicted := q.predictWait(c.Account, weight); time.Now().Add(predicted).After(c.LatestStart) {
		return nil, d.refuseBusy(q, c, "the queue is too long to start in time")
	}
	ctx, cancel := context.WithDeadline(ctx, c.LatestStart)
	defer cancel()
	it := &queue.Item[*waiter]{
		Account: c.Account, Weight: weight, LatestStart: c.LatestStart,
		Value: &waiter{turn: make(chan struct{}, 1), evicted: make(chan struct{}, 1)},
	}
	q.rates.add(c.Account)
	if evicted := q.queue.Push(it); evicted != nil {
		evicted.Value.evicted <- struct{}{}
	}
	lease, err := d.awaitLease(ctx, q, it, c)
	q.rates.remove(c.Account, err == nil, time.Now())
	return lease, err
}

// awaitLease tries to get a lease each time that the turn of a queued call comes.
func (d *Dispatcher) awaitLease(ctx context.Context, q *waitQueue, it *queue.Item[*waiter], c Call) (*Lease, error) {
	for {
		if reason := d.awaitTurn(ctx, q, it); reason != "" {
			return nil, d.refuseBusy(q, c, reason)
		}
		lease, full, err := d.tryAcquire(c)
		if err != nil {
			q.wakeNext(time.Now()) // it would be refused too, or gets what this call can't use
		}
		if !full {
			return lease, err
		}
		q.queue.Return(it)
	}
}

// awaitTurn waits until a queued call may try to start and returns an empty string. If
// the call will not start, it returns the reason.
func (d *Dispatcher) awaitTurn(ctx context.Context, q *waitQueue, it *queue.Item[*waiter]) string {
	ticker := time.NewTicker(recheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-it.Value.turn:
			return ""
		case <-it.Value.evicted:
			return "the queue is full"
		case now := <-ticker.C:
			q.wakeIfStalled(now)
		case <-ctx.Done():
			if !q.queue.Remove(it) {
				// The call was woken at the same time: wake the next one in its place.
				q.wakeNext(time.Now())
			}
			return "it could not start in time"
		}
	}
}

// refuseBusy counts a refused call and returns its refusal with the predicted wait as
// the time after which a retry is worthwhile.
func (d *Dispatcher) refuseBusy(q *waitQueue, c Call, reason string) *Refusal {
	retryAfter := q.predictWait(c.Account, weightOf(d.tables.Current(), c.Account))
	d.scope.Tagged(map[string]string{"stage": c.Stage}).Counter("refused").Inc(1)
	return &Refusal{Busy: true, Reason: reason, RetryAfter: max(minRetryAfter, retryAfter)}
}
