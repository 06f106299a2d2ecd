package syncer

// This file counts the work and the traffic of distributing tables.

import "sync/atomic"

type counters struct {
	rounds, failures, refusals, stale atomic.Int64
	platformReads, pulses             atomic.Int64
	platformBytes, peerBytes          atomic.Int64
	savedBytes                        atomic.Int64
}

// Stats holds counters since the start of the process, and the bytes held now.
type Stats struct {
	Rounds        int64 `json:"rounds"`        // tables put in force
	Failures      int64 `json:"failures"`      // fetches that failed and are retried
	Refusals      int64 `json:"refusals"`      // manifests and tables refused for their content
	Stale         int64 `json:"stale"`         // manifests from the platform not newer than the table in force
	Reads         int64 `json:"reads"`         // objects read from the platform
	Pulses        int64 `json:"pulses"`        // pulses sent to peers
	PlatformBytes int64 `json:"platformbytes"` // bytes of manifests and objects read from the platform
	PeerBytes     int64 `json:"peerbytes"`     // bytes of manifests and objects received from peers
	SavedBytes    int64 `json:"savedbytes"`    // bytes of objects of new tables that were held already
	HeldBytes     int64 `json:"heldbytes"`     // bytes of objects held now
}

// Stats returns the current counters.
func (s *Syncer) Stats() Stats {
	return Stats{
		Rounds:        s.stats.rounds.Load(),
		Failures:      s.stats.failures.Load(),
		Refusals:      s.stats.refusals.Load(),
		Stale:         s.stats.stale.Load(),
		Reads:         s.stats.platformReads.Load(),
		Pulses:        s.stats.pulses.Load(),
		PlatformBytes: s.stats.platformBytes.Load(),
		PeerBytes:     s.stats.peerBytes.Load(),
		SavedBytes:    s.stats.savedBytes.Load(),
		HeldBytes:     int64(s.objects.Bytes()),
	}
}
