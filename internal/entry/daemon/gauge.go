package daemon

// This file shows the present state of a daemon as metrics.

import (
	"context"
	"time"
)

const gaugeEvery = 2 * time.Second

// gauge updates the gauges until ctx ends.
func (d *Daemon) gauge(ctx context.Context) {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		d.updateGauges()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) updateGauges() {
	s := d.status()
	sent, received := d.transport.Bytes()
	stats := d.syncer.Stats()
	for name, value := range map[string]float64{
		"ready":                   boolean(s.Ready),
		"table_epoch":             float64(s.Epoch),
		"table_version":           float64(s.Version),
		"table_refused":           boolean(s.Refusal != ""),
		"table_conflict":          boolean(s.Conflict != ""),
		"table_rounds":            float64(stats.Rounds),
		"platform_age_seconds":    s.Platform,
		"platform_calls":          float64(d.source.Calls()),
		"platform_bytes":          float64(stats.PlatformBytes),
		"peers_age_seconds":       s.Peers,
		"peer_sent_bytes":         float64(sent),
		"peer_received_bytes":     float64(received),
		"poll_bytes":              float64(d.poller.Bytes()),
		"requests_in_flight":      float64(s.Flights),
		"tickets_held":            float64(s.Tickets),
		"table_saved_bytes":       float64(stats.SavedBytes),
		"table_held_bytes":        float64(stats.HeldBytes),
		"table_fetch_failures":    float64(stats.Failures),
		"table_stale_answers":     float64(stats.Stale),
		"table_refusals_in_total": float64(stats.Refusals),
	} {
		d.meter.Gauge(name, value)
	}
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
