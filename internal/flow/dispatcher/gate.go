package dispatcher

// This file defines gate, the calls that wait for one role and model.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

const (
	recheck    = 200 * time.Millisecond // time without a start after which one is tried all the same
	leastAfter = 250 * time.Millisecond // least time after which a refused caller is told to come back
)

type gate struct {
	queue *queue.Queue[*waiter]
	lanes lanes
	last  atomic.Int64 // when a call was let try last, in nanoseconds of the Unix epoch
}

// waiter is one waiting call. Its channels hold one element each.
type waiter struct {
	turn chan struct{} // the call may try to start
	out  chan struct{} // the call has been pushed out of a full queue
}

func (g *gate) waiting() int { return g.queue.Len() }

// wait predicts how long one more call of an account would wait.
func (g *gate) wait(account string, weight float64) time.Duration {
	return max(g.queue.PredictWait(account, weight), g.lanes.wait(account))
}

// signal lets the next waiting call try to start.
func (g *gate) signal(now time.Time) {
	if it := g.queue.Pop(now); it != nil {
		g.last.Store(now.UnixNano())
		it.Value.turn <- struct{}{}
	}
}

// nudge lets the next waiting call try to start when none did for a while,
// since endpoints also get room without a call of this instance ending.
func (g *gate) nudge(now time.Time) {
	last := g.last.Load()
	if now.UnixNano()-last >= recheck.Nanoseconds() && g.last.CompareAndSwap(last, now.UnixNano()) {
		g.signal(now)
	}
}

func (d *Dispatcher) gate(k key) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[k]
	if g == nil {
		g = &gate{queue: queue.New[*waiter](d.most)}
		d.gates[k] = g
	}
	return g
}

// free lets a call start on an endpoint that has room again, for each model that it holds.
func (d *Dispatcher) free(e *endpoint.Endpoint) {
	now := time.Now()
	if len(e.Models) == 0 {
		d.gate(key{e.Role, ""}).signal(now)
		return
	}
	for _, m := range e.Models {
		d.gate(key{e.Role, m}).signal(now)
	}
}

// wait queues a call until it gets an endpoint or can't start in time.
func (d *Dispatcher) wait(ctx context.Context, g *gate, a Ask) (*Lease, error) {
	weight := weightOf(d.tables.Current(), a.Account)
	g.queue.Expire(time.Now()) // their callers wake by themselves
	if predicted := g.wait(a.Account, weight); time.Now().Add(predicted).After(a.Latest) {
		return nil, d.refuse(g, a, "the queue is too long to start in time")
	}
	ctx, cancel := context.WithDeadline(ctx, a.Latest)
	defer cancel()
	it := &queue.Item[*waiter]{
		Account: a.Account, Weight: weight, LatestStart: a.Latest,
		Value: &waiter{turn: make(chan struct{}, 1), out: make(chan struct{}, 1)},
	}
	g.lanes.join(a.Account)
	if pushed := g.queue.Push(it); pushed != nil {
		pushed.Value.out <- struct{}{}
	}
	lease, err := d.stand(ctx, g, it, a)
	g.lanes.leave(a.Account, err == nil, time.Now())
	return lease, err
}

// stand lets a queued call try each time that its turn comes.
func (d *Dispatcher) stand(ctx context.Context, g *gate, it *queue.Item[*waiter], a Ask) (*Lease, error) {
	for {
		if reason := d.await(ctx, g, it); reason != "" {
			return nil, d.refuse(g, a, reason)
		}
		lease, full, err := d.try(a)
		if !full {
			return lease, err
		}
		g.queue.Return(it)
	}
}

// await returns when a waiting call may try to start, or the reason why it never will.
func (d *Dispatcher) await(ctx context.Context, g *gate, it *queue.Item[*waiter]) string {
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for {
		select {
		case <-it.Value.turn:
			return ""
		case <-it.Value.out:
			return "the queue is full"
		case now := <-ticker.C:
			g.nudge(now)
		case <-ctx.Done():
			if !g.queue.Remove(it) {
				// The turn was given to this call meanwhile: pass it on.
				g.signal(time.Now())
			}
			return "it could not start in time"
		}
	}
}

func (d *Dispatcher) refuse(g *gate, a Ask, reason string) *Refusal {
	after := g.wait(a.Account, weightOf(d.tables.Current(), a.Account))
	d.scope.Tagged(map[string]string{"stage": a.Stage}).Counter("refused").Inc(1)
	return &Refusal{Busy: true, Reason: reason, After: max(leastAfter, after)}
}
