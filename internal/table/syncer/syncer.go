// Package syncer distributes published tables. On each instance it learns of new
// versions of the table from the platform, whose manifest it watches, and from
// peers, with which it exchanges versions by gossip. It fetches the objects that
// this instance lacks, from a peer where one has them and from the platform
// otherwise, checks the assembled table and puts it in force in a
// holder.Holder. So a change reaches every instance while at least one of them
// reaches the platform, and the platform is not read by all of them at once. A
// table that fails its checks never replaces the one in force.
package syncer

// This file defines Syncer and its main loop.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fetchqueue"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// activationGap is the pause after each fetch of a table. It merges a burst of
// published changes into a few fetches.
const activationGap = 300 * time.Millisecond

// Syncer keeps the table in the holder at the newest version that the platform or
// a peer has announced. It is safe for concurrent use.
type Syncer struct {
	source       configclient.Source
	transport    *transport.Transport
	members      *membership.Membership
	tables       *holder.Holder
	log          logr.Logger
	readyTimeout time.Duration
	readLimiter  *rate.Limiter // limits the reads of objects from the platform
	objects      *objectstore.Store
	stats        counters

	startTime           time.Time
	queued              chan struct{} // signals that an entry was added to queue
	activated           chan struct{} // signals that a table was put in force
	initialExchangeDone atomic.Bool   // the first exchange of pulses with peers has ended
	platformFailing     atomic.Bool   // the last call to the platform failed
	lastRefusal         atomic.Pointer[string]
	conflict            atomic.Pointer[string]

	mu           sync.Mutex
	queue        *fetchqueue.Queue
	peers        map[string]*peer // last pulse of each peer, by its name
	manifestData []byte           // manifest of the table in force, as published
	inUse        []string         // digests of the objects of the table in force
	platformRead *platformRead    // nil while no objects are read from the platform
	platformSeen time.Time        // time of the platform's last successful response; zero for never
	peerSeen     time.Time        // time of the last pulse from any peer; zero for never
}

// New returns a Syncer and registers its handlers of peer calls with m. The
// argument readyTimeout is the time since New after which Ready no longer waits for the
// platform and the peers.
func New(
	source configclient.Source, t *transport.Transport, members *membership.Membership, tables *holder.Holder,
	readyTimeout time.Duration, log logr.Logger,
) *Syncer {
	s := &Syncer{
		source:       source,
		transport:    t,
		members:      members,
		tables:       tables,
		log:          log,
		readyTimeout: readyTimeout,
		readLimiter:  rate.NewLimiter(slowRate, slowBurst),
		objects:      objectstore.New(),
		startTime:    time.Now(),
		queued:       make(chan struct{}, 1),
		activated:    make(chan struct{}, 1),
		queue:        fetchqueue.New(),
		peers:        make(map[string]*peer),
	}
	t.Handle(method.Pulse, s.onPulse)
	t.Handle(method.Manifest, s.onManifest)
	t.Handle(method.Part, s.onPart)
	return s
}

// Refusal returns why the most recent table was refused, or "" if a table has
// been put in force since.
func (s *Syncer) Refusal() string { return loadText(&s.lastRefusal) }

// Conflict describes two different tables that were published under the same
// (epoch, version), or returns "" if there are none. All instances put the one in
// force whose manifest has the greater digest. Publishing a higher version ends
// the conflict.
func (s *Syncer) Conflict() string { return loadText(&s.conflict) }

// loadText returns the string that p points to, or "".
func loadText(p *atomic.Pointer[string]) string {
	if t := p.Load(); t != nil {
		return *t
	}
	return ""
}

// LastContact returns the time of the platform's last successful response and the
// time of the last pulse from any peer; the zero time means never.
func (s *Syncer) LastContact() (platform, peers time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.platformSeen, s.peerSeen
}

// Ready reports whether this instance may start to serve. A table must be in force.
// Besides, either the time given to New has passed, or the platform and the peers
// have been asked and no newer table remains to be fetched. Ready does not wait for
// a newer table whose fetch has failed.
func (s *Syncer) Ready() bool {
	if s.tables.Current() == nil {
		return false
	}
	if time.Since(s.startTime) >= s.readyTimeout {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.platformSeen.IsZero() && s.initialExchangeDone.Load() && !s.queue.HasUntried(s.inForce())
}

// inForce returns the revision of the table in force, the zero value if none is.
func (s *Syncer) inForce() revision.Revision {
	if t := s.tables.Current(); t != nil {
		return t.Revision()
	}
	return revision.Revision{}
}

// Run watches the platform, exchanges versions with the peers and puts newer
// tables in force until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { s.watch(ctx) })
	all.Go(func() { s.gossip(ctx) })
	for ctx.Err() == nil {
		s.mu.Lock()
		e, wait, ok := s.queue.Next(time.Now(), s.inForce())
		s.mu.Unlock()
		if ok {
			s.process(ctx, e)
			pause.For(ctx, activationGap)
			continue
		}
		s.waitForWork(ctx, wait)
	}
}

// waitForWork returns when an entry is added to the queue, after wait, or when
// ctx ends. A zero wait means no time limit.
func (s *Syncer) waitForWork(ctx context.Context, wait time.Duration) {
	var over <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-s.queued:
	case <-over:
	case <-ctx.Done():
	}
}

// invalidTableError reports a table whose content failed its checks. Fetching
// it again would give the same content, so it is not retried.
type invalidTableError struct {
	at    revision.Revision
	cause error
}

func (e *invalidTableError) Error() string { return fmt.Sprintf("table %s: %v", e.at, e.cause) }

func (e *invalidTableError) Unwrap() error { return e.cause }

// process fetches the table of a queue entry and puts it in force. On an error
// it refuses the table if its content is invalid, and schedules a retry otherwise.
func (s *Syncer) process(ctx context.Context, e fetchqueue.Entry) {
	err := s.fetchAndActivate(ctx, e)
	if err == nil || errors.Is(err, errSuperseded) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var invalid *invalidTableError
	if errors.As(err, &invalid) {
		s.queue.Refuse(invalid.at)
		if invalid.at != e.Revision {
			s.queue.RecordFailure(e.Revision, time.Now(), rand.Float64())
		}
		s.recordRefusal(err)
		return
	}
	s.queue.RecordFailure(e.Revision, time.Now(), rand.Float64())
	s.stats.failures.Add(1)
	s.log.V(1).Info("table not fetched", "table", e.Revision.String(), "reason", err.Error())
}

// recordRefusal logs and counts a refused table and makes err the result of Refusal.
func (s *Syncer) recordRefusal(err error) {
	text := err.Error()
	s.lastRefusal.Store(&text)
	s.stats.refusals.Add(1)
	s.log.Error(err, "table refused, the last good one stays in force", "in force", s.inForce().String())
}

// activate assembles a table whose objects are all held, puts it in force and
// signals gossip to inform the peers. It returns an *invalidTableError if the content fails its
// checks. If a newer table is in force by now, that one stays.
func (s *Syncer) activate(m manifest.Manifest, data []byte) error {
	t, err := m.Join(s.objects, s.tables.Current())
	if err != nil {
		return &invalidTableError{at: m.Revision(), cause: err}
	}
	parts, err := m.Parts(s.objects)
	if err != nil {
		return &invalidTableError{at: m.Revision(), cause: err}
	}
	s.mu.Lock()
	s.manifestData, s.inUse = data, append(parts, m.Groups...)
	s.objects.Retain(time.Now(), s.inUse)
	s.mu.Unlock()
	if !s.tables.Activate(t) {
		return nil
	}
	s.lastRefusal.Store(nil)
	s.stats.rounds.Add(1)
	s.log.Info("table in force", "epoch", t.Epoch, "version", t.Version,
		"parts", len(parts), "endpoints", len(t.Endpoints), "accounts", len(t.Accounts))
	signal(s.activated)
	return nil
}

// addFromPlatform queues the table of a manifest from the platform. A manifest
// that is not newer than the table in force is only counted.
func (s *Syncer) addFromPlatform(data []byte) {
	m, err := manifest.Parse(data)
	if err != nil {
		s.recordRefusal(err)
		return
	}
	at := m.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkNewer(at) {
		s.stats.stale.Add(1)
		return
	}
	s.queue.AddFromPlatform(at, data, time.Now().Add(s.fetchDelay(at)))
	signal(s.queued)
}

// checkNewer reports whether the revision at is newer than the table in force.
// It also records a conflict if both have the same epoch and version, and clears
// it if at has a higher one. The caller holds s.mu.
func (s *Syncer) checkNewer(at revision.Revision) bool {
	now := s.inForce()
	if at.Conflicts(now) {
		text := fmt.Sprintf("two tables were published under %s", at)
		if old := s.conflict.Swap(&text); old == nil || *old != text {
			s.log.Error(errors.New(text), "publish a higher version to end the conflict")
		}
	} else if at.After(now) && at.String() != now.String() {
		s.conflict.Store(nil)
	}
	return at.After(now)
}

// signal sends to c unless a signal is pending already. The channel must have a
// buffer of one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
