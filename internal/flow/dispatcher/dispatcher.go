// Package dispatcher assigns calls to endpoints. If all endpoints of a call are at
// their concurrency limits, the call waits in a queue that is fair between client
// accounts and, within an account, serves the call with the earliest latest start time
// first. A call that is predicted to start too late is refused at once, so that calls
// do not wait in vain under overload. The package does no I/O apart from logging.
package dispatcher

// This file defines Dispatcher, Call and the choice of an endpoint.

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

// Call describes a call that needs an endpoint.
type Call struct {
	RequestID   string // id of the caller's request, for logs
	Account     string
	Stage       string       // stage, or service for a call to a plain service
	Attempt     int          // number of the attempt, counted from 1
	Query       picker.Query // the dispatcher sets its Now
	LatestStart time.Time    // latest time at which starting the call is still useful
	NoWait      bool         // refuse the call instead of queueing it
}

// Dispatcher assigns calls to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	tables     *holder.Holder
	picker     *picker.Picker
	stats      *endpointstats.Tracker
	maxWaiting int // number of calls that may wait for one role and model
	log        logr.Logger
	scope      tally.Scope

	mu     sync.Mutex
	queues map[queueKey]*waitQueue
}

// queueKey identifies the calls that compete for the same endpoints.
type queueKey struct{ role, model string }

// New returns a dispatcher that lets at most maxWaiting calls wait for one role and model.
func New(t *holder.Holder, p *picker.Picker, stats *endpointstats.Tracker, maxWaiting int, log logr.Logger, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		tables: t, picker: p, stats: stats, maxWaiting: maxWaiting, log: log, scope: scope,
		queues: make(map[queueKey]*waitQueue),
	}
}

// Acquire returns a lease on the endpoint for a call. It waits if all endpoints are at
// their limits. If it fails, the error is a *Refusal and nothing has been sent.
func (d *Dispatcher) Acquire(ctx context.Context, c Call) (*Lease, error) {
	q := d.queueFor(queueKey{c.Query.Role, c.Query.Model})
	if q.len() == 0 {
		if lease, full, err := d.tryAcquire(c); !full {
			return lease, err
		}
	}
	if c.NoWait {
		return nil, &Refusal{Busy: true, Reason: "all endpoints are full"}
	}
	return d.acquireQueued(ctx, q, c)
}

// PredictWait predicts how long a new call of an account would wait for an endpoint of a role and model.
func (d *Dispatcher) PredictWait(role, model, account string) time.Duration {
	q := d.queueFor(queueKey{role, model})
	if q.len() == 0 {
		return 0
	}
	return q.predictWait(account, weightOf(d.tables.Current(), account))
}

// tryAcquire picks an endpoint without waiting. It reports full if all endpoints are at
// their limits, so that the call may wait for one.
func (d *Dispatcher) tryAcquire(c Call) (lease *Lease, full bool, err error) {
	table := d.tables.Current()
	c.Query.Now = time.Now()
	choice := d.picker.Pick(table, c.Query)
	switch {
	case choice.Endpoint != nil:
	case choice.Full:
		return nil, true, nil
	default:
		return nil, false, &Refusal{Reason: choice.Reason.String(), RetryAfter: choice.Left}
	}
	if !d.stats.Cooldown().Take(choice.Endpoint.Name, max(cooldown.Usual, choice.Use), c.Query.Now) {
		return nil, true, nil // another call was taken meanwhile
	}
	return d.newLease(c, table, choice), false, nil
}

// AcquireNamed returns a lease on the endpoint with the given name, which the coordinator has
// chosen, regardless of its concurrency limit. It returns nil if the endpoint may get no new
// work, or if it limits the requests of all instances and the coordinator did not take this
// one from the limit, which permitted says.
func (d *Dispatcher) AcquireNamed(c Call, name string, permitted bool) *Lease {
	table := d.tables.Current()
	c.Query.Now = time.Now()
	if !picker.Allowed(table, d.stats, name) || !permitted && d.stats.Limits().Limited(name) || !d.stats.HasRoom(c.Query.Role, name, c.Query.Now) || !d.stats.Cooldown().Take(name, cooldown.Usual, c.Query.Now) {
		return nil
	}
	return d.newLease(c, table, picker.Choice{Endpoint: table.Endpoint(name), Reason: picker.Reason{Code: picker.ByCoordinator}})
}

// IsFailing reports whether the last call of this instance to the endpoint failed.
func (d *Dispatcher) IsFailing(name string) bool { return d.stats.Entry(name).Get().Failures > 0 }

// MeanDuration returns the mean duration of the calls of this instance to endpoints, by their names;
// that of a stream lasts to its end. It is zero if no call has ended.
func (d *Dispatcher) MeanDuration(endpoints []string) time.Duration {
	var sum time.Duration
	known := 0
	for _, name := range endpoints {
		if latency := d.stats.Get(name).Latency; latency > 0 {
			sum += latency
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

func (d *Dispatcher) newLease(c Call, table *fleettable.Table, choice picker.Choice) *Lease {
	d.stats.Start(choice.Endpoint.Name, c.Query.Now)
	if d.log.Enabled() {
		d.log.Info("routing", "request", c.RequestID, "account", c.Account, "stage", c.Stage,
			"attempt", c.Attempt, "endpoint", choice.Endpoint.Name, "reason", choice.Reason.String(),
			"epoch", table.Epoch, "version", table.Version)
	}
	return &Lease{Endpoint: choice.Endpoint, Load: choice.Load, Reason: choice.Reason.String(), start: c.Query.Now, dispatcher: d}
}

// weightOf returns the weight of an account in the queue, or 1 if the table has none.
func weightOf(table *fleettable.Table, account string) float64 {
	if row := table.Account(account); row != nil && row.Weight > 0 {
		return row.Weight
	}
	return 1
}
