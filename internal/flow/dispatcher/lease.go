package dispatcher

// This file defines Lease and Refusal, the two possible results of a call to Acquire.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// Lease is the right to run one call on an endpoint. It counts towards the endpoint's
// concurrency limit until Done is called, which must happen exactly once.
type Lease struct {
	Endpoint *endpoint.Endpoint
	Load     float64 // utilisation of the role when the endpoint was chosen: calls in flight divided by slots
	Reason   string  // why the endpoint was chosen, for logs

	start      time.Time
	dispatcher *Dispatcher
}

// Check returns an error if the endpoint may get no new work. Clients call it just
// before they send the first byte, because the table can change after Acquire.
func (l *Lease) Check() error {
	d := l.dispatcher
	if table := d.tables.Current(); !picker.Allowed(table, d.stats, l.Endpoint.Name) {
		return failure.New(failure.Unsent, nil, "endpoint %s may get no new work since table %d.%d",
			l.Endpoint.Name, table.Epoch, table.Version)
	}
	return nil
}

// Cancel ends the lease of a call that is not sent, instead of Done.
func (l *Lease) Cancel() {
	l.dispatcher.stats.Cancel(l.Endpoint.Name, l.start, time.Now())
	l.dispatcher.wakeWaiting(l.Endpoint)
}

// Done records the result of the call, ends the lease and lets a waiting call try to
// start. Done sets the Elapsed field of the result.
func (l *Lease) Done(r endpointstats.Result) {
	now := time.Now()
	r.Elapsed = now.Sub(l.start)
	l.dispatcher.stats.Done(l.Endpoint.Name, r, now)
	l.dispatcher.wakeWaiting(l.Endpoint)
}

// Refusal is the error of a call that got no endpoint. The call has not been sent.
type Refusal struct {
	Busy       bool          // endpoints exist, but all are at their limits
	Reason     string        // human-readable
	RetryAfter time.Duration // time after which a retry is worthwhile; zero if unknown
}

var _ error = (*Refusal)(nil)

// Error returns the reason and, if known, the time after which a retry is worthwhile.
func (r *Refusal) Error() string {
	if r.RetryAfter == 0 {
		return "no endpoint: " + r.Reason
	}
	return fmt.Sprintf("no endpoint: %s; again after %v", r.Reason, r.RetryAfter)
}

// RecordLoad records the load that the endpoint of a lease has reported.
func (d *Dispatcher) RecordLoad(l *Lease, load endpointstats.Load) {
	d.stats.Report(l.Endpoint.Name, load, time.Now())
}
