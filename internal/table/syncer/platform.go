package syncer

// This file watches the platform's manifest and reads objects from the platform
// at a limited rate.

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Timing and limits of the calls to the platform.
const (
	watchTimeout  = 20 * time.Second
	watchGap      = time.Second // mean pause after each manifest that was read
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 5 * time.Second

	rankDelay        = 4 * time.Millisecond // delay of the fetch from the platform for each instance that ranks before this one
	maxDelay         = 800 * time.Millisecond
	initialRankDelay = 8 * time.Millisecond // replaces rankDelay while no table is in force
	maxInitialDelay  = 4 * time.Second      // replaces maxDelay while no table is in force
	fastReaders      = 8                    // number of highest-ranked instances, which read objects at fastRate

	fastRate  rate.Limit = 100 // objects a second
	fastBurst            = 32  // objects
	slowRate  rate.Limit = 2   // objects a second
	slowBurst            = 2   // objects
)

// watch queues each new manifest from the platform until ctx ends. Every
// instance watches, so a change reaches all of them even if only one can reach
// the platform.
func (s *Syncer) watch(ctx context.Context) {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		v, changed, err := s.source.Watch(ctx, manifest.Key, version, pause.Jitter(watchTimeout))
		s.platformFailing.Store(err != nil)
		if err != nil {
			s.log.V(1).Info("table watch failed", "error", err.Error())
			pause.For(ctx, pause.Jitter(min(minRetryPause<<min(failures, 10), maxRetryPause)))
			failures++
			continue
		}
		failures = 0
		s.mu.Lock()
		s.platformSeen = time.Now()
		s.mu.Unlock()
		if !changed {
			continue
		}
		version = v.Version
		s.stats.platformBytes.Add(int64(len(v.Data)))
		s.addFromPlatform(v.Data)
		pause.For(ctx, pause.Jitter(watchGap))
	}
}

// fetchRank returns an estimate of how many instances that reach the platform
// should fetch the table before this one, and whether any other instances are
// known. Instances are ranked by rendezvous hash for each revision; the rank is
// scaled by the share of peers whose recent pulse says that they reach the
// platform. The caller holds s.mu.
func (s *Syncer) fetchRank(at revision.Revision) (rank int, known bool) {
	names := s.members.Reachable()
	if len(names) == 0 {
		return 0, false
	}
	rank = rendezvous.Rank(at.String(), s.transport.Self().Name, names)
	fresh, heard := 0, 0
	for _, p := range s.peers {
		if time.Since(p.receivedAt) > pulseExpiry {
			continue
		}
		heard++
		if p.fresh {
			fresh++
		}
	}
	if heard > 0 {
		rank = rank * fresh / heard
	}
	return rank, true
}

// fetchDelay returns how long this instance waits before it fetches a table from
// the platform, so that the first-ranked instances fetch it and the others get
// it from them. It is a random time around maxDelay/4 if no other instances are
// known. The caller holds s.mu.
func (s *Syncer) fetchDelay(at revision.Revision) time.Duration {
	rank, known := s.fetchRank(at)
	if !known {
		return pause.Jitter(maxDelay / 4)
	}
	if s.tables.Current() == nil {
		return min(time.Duration(rank)*initialRankDelay, maxInitialDelay)
	}
	return min(time.Duration(rank)*rankDelay, maxDelay)
}

// setReadRate sets how fast objects of a table are read from the platform:
// fast for the first-ranked instances, slow for the rest, which get most objects
// from peers. If no other instances are known, it sets a fifth of the fast rate,
// since every instance may be in that state at once.
func (s *Syncer) setReadRate(at revision.Revision) {
	s.mu.Lock()
	rank, known := s.fetchRank(at)
	s.mu.Unlock()
	limit, burst := slowRate, slowBurst
	switch {
	case !known:
		limit = fastRate / 5
	case rank < fastReaders:
		limit, burst = fastRate, fastBurst
	}
	s.readLimiter.SetLimit(limit)
	s.readLimiter.SetBurst(burst)
}

// readObject reads one object from the platform and stores it. It waits as the
// rate limit requires.
func (s *Syncer) readObject(ctx context.Context, digest string) error {
	if err := s.readLimiter.Wait(ctx); err != nil {
		return err
	}
	s.stats.platformReads.Add(1)
	v, err := s.source.Read(ctx, manifest.PartPrefix+digest)
	if err != nil {
		return err
	}
	s.stats.platformBytes.Add(int64(len(v.Data)))
	return s.objects.Put(digest, v.Data)
}
