package feed

// This file counts what distribution costs.

import "sync/atomic"

type counters struct {
	rounds, failures, refusals, stale atomic.Int64
	platformReads, pulses             atomic.Int64
	platformBytes, peerBytes          atomic.Int64
	savedBytes                        atomic.Int64
}

// Stats counts since the start.
type Stats struct {
	Rounds        int64 `json:"rounds"`        // tables put in force
	Failures      int64 `json:"failures"`      // tables that could not be fetched whole
	Refusals      int64 `json:"refusals"`      // tables whose content was at fault
	Stale         int64 `json:"stale"`         // platform answers not after the table in force
	Reads         int64 `json:"reads"`         // objects read from the platform
	Pulses        int64 `json:"pulses"`        // pulses sent
	PlatformBytes int64 `json:"platformbytes"` // manifests and objects that the platform gave
	PeerBytes     int64 `json:"peerbytes"`     // manifests and objects that peers gave
	SavedBytes    int64 `json:"savedbytes"`    // objects of new tables that were held already
	HeldBytes     int64 `json:"heldbytes"`     // objects held now
}

// Stats returns the counters.
func (f *Feed) Stats() Stats {
	return Stats{
		Rounds:        f.stats.rounds.Load(),
		Failures:      f.stats.failures.Load(),
		Refusals:      f.stats.refusals.Load(),
		Stale:         f.stats.stale.Load(),
		Reads:         f.stats.platformReads.Load(),
		Pulses:        f.stats.pulses.Load(),
		PlatformBytes: f.stats.platformBytes.Load(),
		PeerBytes:     f.stats.peerBytes.Load(),
		SavedBytes:    f.stats.savedBytes.Load(),
		HeldBytes:     int64(f.objects.Bytes()),
	}
}
