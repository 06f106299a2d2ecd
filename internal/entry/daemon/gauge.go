package daemon

// This file publishes the state of a daemon as gauges.

import (
	"context"
	"time"
)

const gaugeInterval = 2 * time.Second

// publishGauges updates the gauges periodically until ctx ends.
func (d *Daemon) publishGauges(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
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
	syncStats := d.syncer.Stats()
	for name, value := range map[string]float64{
		"ready":                   boolean(s.Ready),
		"table_epoch":             float64(s.Epoch),
		"table_version":           float64(s.Version),
		"table_refused":           boolean(s.Refusal != ""),
		"table_conflict":          boolean(s.Conflict != ""),
		"table_rounds":            float64(syncStats.Rounds),
		"platform_age_seconds":    s.PlatformAge,
		"platform_calls":          float64(d.platform.Calls()),
		"platform_bytes":          float64(syncStats.PlatformBytes),
		"peers_age_seconds":       s.PeersAge,
		"peer_sent_bytes":         float64(sent),
		"peer_received_bytes":     float64(received),
		"poll_bytes":              float64(d.poller.Bytes()),
		"requests_in_flight":      float64(s.RequestsInFlight),
		"tickets_held":            float64(s.Tickets),
		"table_saved_bytes":       float64(syncStats.SavedBytes),
		"table_held_bytes":        float64(syncStats.HeldBytes),
		"table_fetch_failures":    float64(syncStats.Failures),
		"table_stale_answers":     float64(syncStats.Stale),
		"table_refusals_in_total": float64(syncStats.Refusals),
	} {
		d.meter.SetGauge(name, value)
	}
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
