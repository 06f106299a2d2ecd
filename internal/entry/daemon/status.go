package daemon

// This file reports the state of a daemon to operators.

import (
	"net/http"

	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// counted counts requests in flight, and asks clients to go elsewhere once the daemon is stopping.
func (d *Daemon) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.flights.Add(1)
		defer d.flights.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) status() operator.Status {
	epoch, version := d.tables.Pair()
	return operator.Status{
		Name:     d.config.Name,
		Centre:   d.config.Centre,
		Ready:    d.tables.Current() != nil && !d.stopping.Load(),
		Stopping: d.stopping.Load(),
		Epoch:    epoch,
		Version:  version,
		Refusal:  d.feed.Refusal(),
		Flights:  d.flights.Load(),
		Tickets:  d.desk.Unused() + d.desk.Running(),
	}
}
