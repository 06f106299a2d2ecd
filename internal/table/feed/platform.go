package feed

// This file follows the platform and bounds what it is asked for.

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// What the platform is asked for.
const (
	watchWait  = 20 * time.Second
	watchGap   = time.Second // least mean time between two manifests that are read
	firstPause = 250 * time.Millisecond
	mostPause  = 5 * time.Second

	rankDelay = 4 * time.Millisecond // an instance waits this long for each that ranks before it
	mostDelay = 800 * time.Millisecond
	coldDelay = 8 * time.Millisecond // in place of rankDelay while no table is in force
	mostCold  = 4 * time.Second
	leaders   = 8 // instances that may read objects fast

	fastRate  rate.Limit = 100 // objects a second
	fastBurst            = 32  // objects
	slowRate  rate.Limit = 2   // objects a second
	slowBurst            = 2   // objects
)

// watch offers each manifest that the platform gives, until ctx ends. Every
// instance watches, so that a change is in force everywhere while a single one
// reaches the platform.
func (f *Feed) watch(ctx context.Context) {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		v, changed, err := f.source.Watch(ctx, manifest.Key, version, pause.Jitter(watchWait))
		f.failing.Store(err != nil)
		if err != nil {
			f.log.V(1).Info("table watch failed", "error", err.Error())
			pause.For(ctx, pause.Jitter(min(firstPause<<min(failures, 10), mostPause)))
			failures++
			continue
		}
		failures = 0
		f.mu.Lock()
		f.platform = time.Now()
		f.mu.Unlock()
		if !changed {
			continue
		}
		version = v.Version
		f.stats.platformBytes.Add(int64(len(v.Data)))
		f.offerFromPlatform(v.Data)
		pause.For(ctx, pause.Jitter(watchGap))
	}
}

// rank returns how many instances that reach the platform should fetch a table
// before this one, and whether other instances are known at all. The caller
// holds f.mu.
func (f *Feed) rank(at revision.Revision) (rank int, known bool) {
	names := f.members.Reachable()
	if len(names) == 0 {
		return 0, false
	}
	rank = rendezvous.Rank(at.String(), f.transport.Self().Name, names)
	fresh, heard := 0, 0
	for _, p := range f.peers {
		if time.Since(p.heard) > peerMemory {
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

// delay returns how long this instance waits for a peer to have a table before
// it fetches the objects from the platform. The caller holds f.mu.
func (f *Feed) delay(at revision.Revision) time.Duration {
	rank, known := f.rank(at)
	if !known {
		return pause.Jitter(mostDelay / 4)
	}
	if f.tables.Current() == nil {
		return min(time.Duration(rank)*coldDelay, mostCold)
	}
	return min(time.Duration(rank)*rankDelay, mostDelay)
}

// pace sets how fast objects are read from the platform: fast for the few
// instances that rank first, slow for the rest, which get theirs from peers.
func (f *Feed) pace(at revision.Revision) {
	f.mu.Lock()
	rank, known := f.rank(at)
	f.mu.Unlock()
	limit, burst := slowRate, slowBurst
	switch {
	case !known:
		limit = fastRate / 5
	case rank < leaders:
		limit, burst = fastRate, fastBurst
	}
	f.reads.SetLimit(limit)
	f.reads.SetBurst(burst)
}

// read fetches one object from the platform.
func (f *Feed) read(ctx context.Context, digest string) error {
	if err := f.reads.Wait(ctx); err != nil {
		return err
	}
	f.stats.platformReads.Add(1)
	v, err := f.source.Read(ctx, manifest.PartPrefix+digest)
	if err != nil {
		return err
	}
	f.stats.platformBytes.Add(int64(len(v.Data)))
	return f.objects.Put(digest, v.Data)
}
