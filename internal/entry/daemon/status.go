package daemon

// This file reports the state of a daemon to operators.

import (
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// countInFlight counts requests in flight. While the daemon is stopping, it closes each
// connection after the response, so that clients connect to another instance.
func (d *Daemon) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastRequest.Store(time.Now().UnixNano())
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) status() operator.Status {
	epoch, version := d.tables.Version()
	platform, peers := d.syncer.LastContact()
	return operator.Status{
		Name:             d.config.Name,
		Centre:           d.config.Centre,
		Ready:            d.syncer.Ready() && !d.stopping.Load(),
		Stopping:         d.stopping.Load(),
		Epoch:            epoch,
		Version:          version,
		Refusal:          d.syncer.Refusal(),
		Conflict:         d.syncer.Conflict(),
		PlatformAge:      ageOf(platform),
		PeersAge:         ageOf(peers),
		RequestsInFlight: d.inFlight.Load(),
		Tickets:          d.tickets.Unused() + d.tickets.Running(),
	}
}

// ageOf returns the time since t in seconds, or -1 for the zero time.
func ageOf(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Seconds()
}

// endpoints reports how this instance uses each endpoint of the table in force.
func (d *Daemon) endpoints() operator.EndpointReport {
	out := operator.EndpointReport{Name: d.config.Name, Endpoints: []operator.Endpoint{}}
	s := d.tables.Current()
	if s == nil {
		return out
	}
	out.Epoch, out.Version = s.Epoch, s.Version
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		st := d.stats.Get(e.Name)
		entry := operator.Endpoint{
			Name: e.Name, Centre: e.Centre, Weight: s.Weight(e.Name),
			Leaving: d.stats.Leaving(e.Name), CallsInFlight: st.InFlight,
		}
		if !st.LastStart.IsZero() {
			entry.LastCall = &st.LastStart
		}
		out.Endpoints = append(out.Endpoints, entry)
	}
	return out
}
