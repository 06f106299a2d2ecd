package dispatcher

// This file defines Lease and Refusal, the two results of asking for an endpoint.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// Lease is the use of an endpoint for one call. Done must be called once.
type Lease struct {
	Endpoint *endpoint.Endpoint
	Load     float64 // load of the role when the endpoint was chosen, in calls for each slot
	Ground   string  // why it was chosen, for logs

	start      time.Time
	dispatcher *Dispatcher
}

// Check returns an error once the endpoint may get no new work. It is asked
// just before the call leaves, since the table may have changed meanwhile.
func (l *Lease) Check() error {
	d := l.dispatcher
	if table := d.tables.Current(); !picker.Allowed(table, d.board, l.Endpoint.Name) {
		return failure.New(failure.Unsent, nil, "endpoint %s may get no new work since table %d.%d",
			l.Endpoint.Name, table.Epoch, table.Version)
	}
	return nil
}

// Done ends the call with its result, whose Took is set here, and lets a
// waiting call start.
func (l *Lease) Done(r endpointstats.Result) {
	now := time.Now()
	r.Took = now.Sub(l.start)
	l.dispatcher.board.Done(l.Endpoint.Name, r, now)
	l.dispatcher.free(l.Endpoint)
}

// Refusal says why a call got no endpoint.
type Refusal struct {
	Busy   bool          // endpoints exist and are full
	Reason string        // for people
	After  time.Duration // when it is worth to ask again; zero where unknown
}

var _ error = (*Refusal)(nil)

// Error returns the reason.
func (r *Refusal) Error() string {
	if r.After == 0 {
		return "no endpoint: " + r.Reason
	}
	return fmt.Sprintf("no endpoint: %s; again after %v", r.Reason, r.After)
}

// Report records the load that the endpoint of a lease reported of itself.
func (d *Dispatcher) Report(l *Lease, load endpointstats.Load) {
	d.board.Report(l.Endpoint.Name, load, time.Now())
}
