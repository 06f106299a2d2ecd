package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
	"github.com/jacinthstile/jacinthstile/internal/edge/watcher"
)

// state is the condition of the simulated store.
type state int

const (
	healthy      state = iota
	down               // calls fail at once
	unresponsive       // calls get no answer
	compacted          // watches fail until the store is listed
	overlong           // the same, as the changes don't fit in one answer
)

var (
	errDown   = errors.New("store down")
	errSilent = errors.New("store silent")
)

// answerMargin is how long a Source waits for an answer beyond the wait of a watch.
const answerMargin = 900 * time.Millisecond

// store is a simulated Source whose state the tests set. Its revision is the number
// of its events and one.
type store struct {
	mu         sync.Mutex
	state      state
	era        uint64
	answered   uint64 // newest era of any answer
	version    uint64
	ready      map[string]bool // ids of the registered endpoints
	drained    bool            // whether the data centre of all endpoints is drained
	events     []change.Change
	listTime   time.Duration // added to the time of a list
	maxChanges int           // in an answer to a watch; zero for no limit
	calls      atomic.Int64  // number of List and Watch calls
}

func (s *store) set(st state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
}

func (s *store) register(id string, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present {
		s.ready[id] = true
		s.events = append(s.events, registered(id))
		return
	}
	delete(s.ready, id)
	s.events = append(s.events, change.Unregistered{ID: id})
}

func registered(id string) change.Registered {
	return change.Registered{Endpoint: registry.Endpoint{ID: id, Service: "s", Address: id + ":1", Centre: "c", Slots: 1, State: registry.Ready, Version: versionOf(id)}}
}

// versionOf returns the version of an endpoint's software: v2 if its id says so.
func versionOf(id string) string {
	if strings.HasPrefix(id, "v2") {
		return "v2"
	}
	return "v1"
}

func (s *store) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.events = append(s.events, published(version))
}

func published(version uint64) change.Published {
	return change.Published{Catalog: catalog.New(version, nil, nil, nil, false, catalog.Limits{})}
}

// restore makes the store come back from a copy that holds the first n changes.
func (s *store) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.ready, s.drained = 1, map[string]bool{"a": true, "b": true}, false
	s.events = slices.Clone(s.events[:n])
	for _, e := range s.events {
		switch e := e.(type) {
		case change.Published:
			s.version = e.Catalog.Version
		case change.Registered:
			s.ready[e.Endpoint.ID] = true
		case change.Unregistered:
			delete(s.ready, e.ID)
		}
	}
}

// at returns the newest position. The caller holds the lock.
func (s *store) at() position.Position {
	return position.Position{Era: s.era, Revision: uint64(len(s.events)) + 1}
}

func (s *store) NewestEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// giveUp waits until a call without an answer is given up.
func giveUp(ctx context.Context, superseded <-chan struct{}, after time.Duration) error {
	select {
	case <-time.After(after):
		return errSilent
	case <-superseded:
		return watcher.ErrSuperseded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a call, which may wait for a time, and takes it through the state of the store.
func (s *store) enter(ctx context.Context, superseded <-chan struct{}, wait time.Duration) error {
	s.calls.Add(1)
	s.mu.Lock()
	st := s.state
	s.mu.Unlock()
	switch st {
	case down:
		return errDown
	case unresponsive:
		return giveUp(ctx, superseded, wait+answerMargin)
	default:
		time.Sleep(4 * time.Millisecond)
		return nil
	}
}

func (s *store) List(ctx context.Context) ([]change.Change, position.Position, error) {
	if err := s.enter(ctx, nil, 0); err != nil {
		return nil, position.Position{}, err
	}
	s.mu.Lock()
	listTime := s.listTime
	s.mu.Unlock()
	select {
	case <-time.After(listTime):
	case <-ctx.Done():
		return nil, position.Position{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == compacted || s.state == overlong {
		s.state = healthy
	}
	s.answered = s.era
	list := []change.Change{published(s.version)}
	for id := range s.ready {
		list = append(list, registered(id))
	}
	if s.drained {
		list = append(list, change.Drained{Centre: "c"})
	}
	return list, s.at(), nil
}

func (s *store) Watch(ctx context.Context, superseded <-chan struct{}, after position.Position, wait time.Duration) ([]change.Change, position.Position, error) {
	if err := s.enter(ctx, superseded, wait); err != nil {
		return nil, position.Position{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		all, at, st := s.events, s.at(), s.state
		if st == healthy || st == compacted {
			s.answered = s.era
		}
		s.mu.Unlock()
		switch {
		case st == compacted:
			return nil, at, watcher.ErrCompacted
		case st == overlong:
			return nil, at, watcher.ErrTooLong
		case st == unresponsive:
			return nil, at, giveUp(ctx, superseded, time.Until(end)+answerMargin)
		case st == down:
			return nil, at, errDown
		case at.Era != after.Era:
			return nil, at, watcher.ErrNewEra
		case after.Before(at):
			changes := all[after.Revision-1:]
			if s.maxChanges > 0 && len(changes) > s.maxChanges {
				changes = changes[:s.maxChanges]
				at.Revision = after.Revision + uint64(s.maxChanges)
			}
			return changes, at, nil
		case !time.Now().Before(end):
			return nil, at, nil
		}
	}
}

// harness is a watcher of a simulated store with the clock of a synctest bubble.
type harness struct {
	versions  *versionset.Tracker
	store     *store
	freshness *freshness.Tracker
	peer      *peerstatus.Latest
	watcher   *watcher.Watcher
	version   atomic.Uint64 // of the catalog in force
	index     atomic.Pointer[registry.Index]
	updates   atomic.Int64 // number of updates of index
	ignored   atomic.Int64 // lines of the log about ignored entries
}

// accepts reports whether the endpoint is known and accepts new work.
func (h *harness) accepts(id string) bool {
	e := h.index.Load().ByName(id + "@0")
	return e != nil && e.AcceptsWork()
}

// revision returns the position of the first era after n events.
func revision(n uint64) position.Position { return position.Position{Revision: n + 1} }

// reportUnchanged delivers reports of another instance that nothing changed, one
// every 0.3 s.
func (h *harness) reportUnchanged(times int) {
	for range times {
		h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: h.freshness.Now()})
		time.Sleep(300 * time.Millisecond)
	}
}

// run starts a watcher of a store with one catalog and the endpoints a and b, and
// calls f after 2 s.
func run(t *testing.T, f func(g *WithT, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		h := &harness{store: &store{version: 1, ready: map[string]bool{"a": true, "b": true}}, peer: peerstatus.New(), versions: versionset.New()}
		h.freshness = freshness.New(func() time.Duration { return time.Since(start) + time.Hour })
		endpoints := registry.New(heartbeat, func(all []*registry.Endpoint) {
			h.index.Store(registry.NewIndex(all))
			h.versions.Observe(all, time.Now())
			h.updates.Add(1)
		})
		ctx, cancel := context.WithCancel(t.Context())
		log := funcr.New(func(_, line string) {
			if strings.Contains(line, "ignored") {
				h.ignored.Add(1)
			}
		}, funcr.Options{})
		h.watcher = watcher.New(h.store, h.peer, h.freshness, endpoints, h.versions, func(c *catalog.Catalog) { h.version.Store(c.Version) }, log, tally.NoopScope)
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.watcher.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		f(NewWithT(t), h)
		cancel()
		<-done
	})
}

const (
	revoke    = 5 * time.Second         // time within which a revoked API key must stop working
	heartbeat = 1200 * time.Millisecond // interval at which endpoints renew their registrations
)

// TestIdleStoreIsPolledSeldom guards against confirmations that get too old while
// nothing changes, and against more than one call to the store a second.
func TestIdleStoreIsPolledSeldom(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		before := h.store.calls.Load()
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(h.store.calls.Load()-before).To(BeNumerically("<=", 20), "calls in 20 s")
	})
}

// TestChangesApplyPromptly guards against changes that are delayed although the
// store is healthy: each must be in force within 50 ms.
func TestChangesApplyPromptly(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.publish(5)
		h.store.register("b", false)
		h.store.register("c", true)
		time.Sleep(50 * time.Millisecond)
		g.Expect(h.version.Load()).To(Equal(uint64(5)))
		g.Expect(h.accepts("b")).To(BeFalse())
		g.Expect(h.accepts("c")).To(BeTrue())
	})
}

// TestOlderCatalogIsIgnored guards against falling back to an older version of the
// catalog that the store reports late.
func TestOlderCatalogIsIgnored(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.publish(5)
		time.Sleep(50 * time.Millisecond)
		h.store.publish(3)
		time.Sleep(50 * time.Millisecond)
		g.Expect(h.version.Load()).To(Equal(uint64(5)))
	})
}

// TestOutages makes the store fail or stop answering for 6 s. It guards against
// trusting an old configuration, against dropping endpoints whose registrations
// expired during the outage, and against a slow recovery.
func TestOutages(t *testing.T) {
	for _, st := range []state{down, unresponsive} {
		t.Run(fmt.Sprint(st), func(t *testing.T) {
			run(t, func(g *WithT, h *harness) {
				h.store.set(st)
				time.Sleep(6 * time.Second)
				g.Expect(h.freshness.Within(revoke)).To(BeFalse(), "the last confirmation must be too old to trust keys")
				h.store.register("a", false) // expires and is renewed below
				h.store.register("b", false) // is not renewed
				h.store.publish(2)
				h.store.set(healthy)
				time.Sleep(1500 * time.Millisecond)
				g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
				g.Expect(h.version.Load()).To(Equal(uint64(2)))
				g.Expect(h.accepts("a")).To(BeTrue(), "the registration may have expired because of the outage")
				h.store.register("a", true)
				time.Sleep(registry.ReregisterTimeout + 2*time.Second)
				g.Expect(h.accepts("a")).To(BeTrue())
				g.Expect(h.accepts("b")).To(BeFalse(), "the endpoint did not register again")
			})
		})
	}
}

// TestMissingRegistrations guards against work for an endpoint that left, as a call to the store had failed shortly before its
// registration was removed, and against dropping live endpoints whose registrations expired while the store was away.
func TestMissingRegistrations(t *testing.T) {
	const (
		noticed  = 300 * time.Millisecond  // after which a change is known while the store answers
		returned = 1500 * time.Millisecond // after which the end of an outage is known
	)
	outage := func(st state, length time.Duration, during func(*harness)) func(*harness) {
		return func(h *harness) {
			h.store.set(st)
			time.Sleep(length)
			during(h)
			h.store.set(healthy)
		}
	}
	nothing := func(*harness) {}
	cut := outage(down, 20*time.Millisecond, nothing)
	leave := func(h *harness) { h.store.register("b", false) }
	tell := func(h *harness) {
		h.peer.Set(peerstatus.Report{Position: revision(1), After: revision(0), Complete: true, ConfirmedAt: h.freshness.Now(), Changes: []change.Change{change.Unregistered{ID: "b"}}})
	}
	for name, c := range map[string]struct {
		trouble func(*harness)
		remove  func(*harness) // removes the registration of b after the trouble; nil if it expired in it
	}{
		"nothing happened":           {nothing, leave},
		"a watch was cut":            {cut, leave},
		"calls were refused for 1 s": {outage(down, time.Second, nothing), leave},
		"answers were lost for 1 s":  {outage(unresponsive, time.Second, nothing), leave},
		"watches were cut again and again": {func(h *harness) {
			for range 20 {
				cut(h)
				time.Sleep(180 * time.Millisecond)
			}
		}, leave},
		"refused to this instance alone": {func(h *harness) {
			h.store.set(down)
			h.reportUnchanged(20)
		}, tell},
		"a watch was cut between two reports": {func(h *harness) {
			h.reportUnchanged(10)
			time.Sleep(3200 * time.Millisecond) // the last report is too old, so a watch has begun
			cut(h)
			h.reportUnchanged(1)
		}, tell},
		"the store was away for 4 s":   {outage(down, 4*time.Second, leave), nil},
		"the store was silent for 4 s": {outage(unresponsive, 4*time.Second, leave), nil},
		"a watch was cut after an outage": {func(h *harness) {
			outage(down, 4*time.Second, leave)(h)
			time.Sleep(noticed)
			cut(h)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(g *WithT, h *harness) {
				c.trouble(h)
				if c.remove == nil {
					time.Sleep(returned)
					g.Expect(h.accepts("b")).To(BeTrue(), "the registration may have expired for want of the store")
					time.Sleep(registry.ReregisterTimeout)
				} else {
					time.Sleep(noticed)
					c.remove(h)
					time.Sleep(noticed)
				}
				g.Expect(h.accepts("b")).To(BeFalse(), "the endpoint left, or did not register again")
				g.Expect(h.accepts("a")).To(BeTrue())
			})
		})
	}
}

// TestCompactionCausesList guards against missed changes when the store no longer
// has the changes after the known revision: it must be listed again.
func TestCompactionCausesList(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.set(compacted)
		h.store.register("b", false)
		time.Sleep(time.Second)
		g.Expect(h.accepts("a")).To(BeTrue())
		g.Expect(h.accepts("b")).To(BeFalse())
		g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
	})
}

// TestVersionsThatMayHaveBeenMissed guards against taking the version in sight for the only one: another one
// was registered and removed between two answers of the store, or while its changes were lost.
func TestVersionsThatMayHaveBeenMissed(t *testing.T) {
	route := &catalog.Route{Kind: catalog.Stream, Targets: []catalog.Target{{Service: "s"}}}
	for name, miss := range map[string]func(*harness){
		"between two answers": func(h *harness) {
			h.store.register("v2", true)
			h.store.register("v2", false)
		},
		"lost changes": func(h *harness) { h.store.set(compacted) },
		"told by another instance": func(h *harness) {
			h.peer.Set(peerstatus.Report{
				Position: revision(2), After: revision(0), Complete: true, ConfirmedAt: h.freshness.Now(),
				Changes: []change.Change{registered("v2"), change.Unregistered{ID: "v2"}},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(g *WithT, h *harness) {
				only := func() bool {
					_, ok := h.versions.Only(route, time.Now())
					return ok
				}
				g.Expect(only()).To(BeFalse(), "just started")
				time.Sleep(time.Minute)
				g.Expect(only()).To(BeTrue())
				miss(h)
				time.Sleep(2 * time.Second)
				g.Expect(only()).To(BeFalse())
				time.Sleep(time.Minute)
				g.Expect(only()).To(BeTrue())
			})
		})
	}
}

// TestLongListIsNotGivenUp guards against a list that is given up and begun again for ever,
// as all instances list thousands of endpoints at the same moment.
func TestLongListIsNotGivenUp(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.mu.Lock()
		h.store.listTime = 5 * time.Second
		h.store.mu.Unlock()
		h.store.set(compacted)
		h.store.register("b", false)
		time.Sleep(7 * time.Second)
		g.Expect(h.accepts("b")).To(BeFalse())
	})
}

// TestUnreadableEntries guards against using an endpoint whose registration cannot
// be decoded, and against dropping the catalog for an entry that cannot be decoded.
func TestUnreadableEntries(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.mu.Lock()
		h.store.events = append(h.store.events, change.Unreadable{Endpoint: "b", Reason: errDown}, change.Unreadable{Reason: errDown})
		h.store.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		g.Expect(h.accepts("a")).To(BeTrue())
		g.Expect(h.accepts("b")).To(BeFalse())
		g.Expect(h.version.Load()).To(Equal(uint64(1)))
	})
}

// TestIgnoredEntriesAreLoggedOnce guards against a log that is filled by a program which writes odd entries again and
// again or by the thousand, and against updating all endpoints for each of them.
func TestIgnoredEntriesAreLoggedOnce(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		odd := func(from, to int) {
			h.store.mu.Lock()
			for i := from; i < to; i++ {
				h.store.events = append(h.store.events, change.Unreadable{Endpoint: fmt.Sprint("odd", i), Reason: errDown})
			}
			h.store.mu.Unlock()
			time.Sleep(noticeTime)
		}
		updates := h.updates.Load()
		for range 10 {
			odd(0, 1)
		}
		g.Expect(h.ignored.Load()).To(BeEquivalentTo(1))
		odd(0, 5000)
		g.Expect(h.ignored.Load()).To(BeNumerically("<", 120))
		g.Expect(h.updates.Load()).To(Equal(updates))
		h.store.register("odd0", true)
		time.Sleep(noticeTime)
		g.Expect(h.accepts("odd0")).To(BeTrue())
		g.Expect(h.updates.Load()).To(Equal(updates + 1))
	})
}

// TestChangesTooLongForOneAnswer guards against an instance that never follows the store again, as the changes since
// its position don't fit in one answer.
func TestChangesTooLongForOneAnswer(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.set(overlong)
		h.store.register("c", true)
		time.Sleep(noticeTime)
		g.Expect(h.accepts("c")).To(BeTrue())
		g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
	})
}

// TestReportsReplaceCalls guards against needless load on the store: while another
// instance reports that nothing changed, no call is made and the confirmations stay
// recent. When it reports a newer revision, the store is asked.
func TestReportsReplaceCalls(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		n := uint64(0)
		report := func(times int) {
			for range times {
				h.peer.Set(peerstatus.Report{Position: revision(n), ConfirmedAt: h.freshness.Now() - 200*time.Millisecond})
				time.Sleep(300 * time.Millisecond)
				g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
			}
		}
		report(10) // a watch may have been in progress
		before := h.store.calls.Load()
		report(60)
		g.Expect(h.store.calls.Load()).To(Equal(before))
		h.store.publish(2)
		n = 1
		report(2)
		g.Expect(h.version.Load()).To(Equal(uint64(2)))
		g.Expect(h.store.calls.Load()).To(BeNumerically("<=", before+2))
		time.Sleep(5 * time.Second)
		g.Expect(h.freshness.Within(revoke/2)).To(BeTrue(), "without reports it must watch the store itself")
	})
}

// TestReportedRevisionsLimitCalls guards against overload of the store during the
// roll-out of a service, when every report of another instance announces one more
// change without including it: each change must be in force within about 1 s, with
// at most two calls a second.
func TestReportedRevisionsLimitCalls(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: h.freshness.Now()})
		time.Sleep(2 * time.Second) // a watch may have been in progress
		before := h.store.calls.Load()
		for i := range 40 {
			h.store.register(fmt.Sprint("n", i), true)
			h.peer.Set(peerstatus.Report{Position: revision(uint64(i + 1)), ConfirmedAt: h.freshness.Now()})
			time.Sleep(300 * time.Millisecond)
			if i >= 3 {
				g.Expect(h.accepts(fmt.Sprint("n", i-3))).To(BeTrue(), "change %d", i-3)
			}
		}
		g.Expect(h.store.calls.Load() - before).To(BeNumerically("<=", 24))
	})
}

// TestReportedChangesReplaceCalls guards against needless load on the store during
// the roll-out of a service, when every report of another instance includes one
// more change: each must be in force at once, without any call to the store.
func TestReportedChangesReplaceCalls(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.reportUnchanged(10) // a watch may have been in progress
		before := h.store.calls.Load()
		for i := range uint64(40) {
			id := fmt.Sprint("n", i)
			h.peer.Set(peerstatus.Report{
				Position: revision(i + 1), ConfirmedAt: h.freshness.Now(), Changes: []change.Change{registered(id)}, After: revision(i), Complete: true,
			})
			time.Sleep(300 * time.Millisecond)
			g.Expect(h.accepts(id)).To(BeTrue())
			g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(h.store.calls.Load()).To(Equal(before))
		h.peer.Set(peerstatus.Report{
			Position: revision(41), ConfirmedAt: h.freshness.Now(), Changes: []change.Change{change.Unregistered{ID: "a"}, registered("c")}, After: revision(38), Complete: true,
		})
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.accepts("a")).To(BeFalse(), "changes that begin before the known revision must be applied")
		g.Expect(h.accepts("c")).To(BeTrue())
		list, to, ok := h.watcher.History().Since(revision(0))
		g.Expect(ok).To(BeTrue(), "the changes must be kept for other instances")
		g.Expect(to).To(Equal(revision(41)))
		g.Expect(len(list)).To(BeNumerically(">=", 42))
	})
}

// TestReportedChangesWithGap guards against missed changes when a report includes
// only changes after a revision that this instance has not reached: it must watch
// the store instead.
func TestReportedChangesWithGap(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.reportUnchanged(10)
		h.store.register("c", true)
		h.store.register("b", false)
		h.peer.Set(peerstatus.Report{Position: revision(2), ConfirmedAt: h.freshness.Now(), Changes: []change.Change{change.Unregistered{ID: "b"}}, After: revision(1), Complete: true})
		time.Sleep(700 * time.Millisecond)
		g.Expect(h.accepts("c")).To(BeTrue())
		g.Expect(h.accepts("b")).To(BeFalse())
	})
}

// TestReportsDuringLocalOutage covers a store that fails for this instance but not
// for the reporting one. As long as the reports say that nothing changed, the
// configuration must count as current and at most two calls go to the store in 9 s.
func TestReportsDuringLocalOutage(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.set(down)
		time.Sleep(2 * time.Second) // a watch must have failed
		report := func(n int) {
			for range n {
				h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: h.freshness.Now() - 200*time.Millisecond})
				time.Sleep(300 * time.Millisecond)
			}
		}
		report(2) // the delay before a retry is at most 0.5 s
		before := h.store.calls.Load()
		for range 30 {
			report(1)
			g.Expect(h.freshness.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(h.store.calls.Load() - before).To(BeNumerically("<=", 2))
		g.Expect(h.accepts("a")).To(BeTrue())
	})
}

// TestReportsDuringFullOutage covers a store that fails for this instance and for
// the reporting one. It guards against frequent retries of many instances, and
// against a slow recovery when a report shows that the store is reachable again.
func TestReportsDuringFullOutage(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		at := h.freshness.Now()
		h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: at})
		h.store.set(down)
		time.Sleep(2 * time.Second) // a watch must have failed
		before := h.store.calls.Load()
		for range 40 {
			h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: at})
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(h.store.calls.Load()-before).To(BeNumerically("<=", 16), "calls in 12 s")
		g.Expect(h.freshness.Within(revoke)).To(BeFalse())
		h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: h.freshness.Now()})
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.freshness.Within(revoke)).To(BeTrue())
	})
}

// TestReportedNewsEndAWatch guards against an old manifest in force while a watch waits on a connection that went silent,
// although another instance reports a newer version. A report without news ends no watch.
func TestReportedNewsEndAWatch(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		for before := h.store.calls.Load(); h.store.calls.Load() == before; { // until a watch begins
			time.Sleep(5 * time.Millisecond)
		}
		h.store.set(unresponsive)
		time.Sleep(10 * time.Millisecond) // the watch has noticed
		h.store.set(healthy)
		during := h.store.calls.Load()
		h.peer.Set(peerstatus.Report{Position: revision(0), Version: 1, ConfirmedAt: h.freshness.Now()})
		time.Sleep(200 * time.Millisecond)
		g.Expect(h.store.calls.Load()).To(Equal(during), "calls after a report without news")
		h.store.publish(2)
		h.peer.Set(peerstatus.Report{Position: revision(1), Version: 2, ConfirmedAt: h.freshness.Now()})
		time.Sleep(500 * time.Millisecond) // with the least time between two watches
		g.Expect(h.version.Load()).To(Equal(uint64(2)))
		g.Expect(h.store.calls.Load()).To(BeNumerically("<=", during+2))
	})
}

// TestSuccessiveNewsEndFewWatches guards against a watch that is begun again for each piece of news, so that none gets an answer
// from a slow store.
func TestSuccessiveNewsEndFewWatches(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.set(unresponsive)
		before := h.store.calls.Load()
		for i := range uint64(40) {
			h.peer.Set(peerstatus.Report{Position: revision(i), ConfirmedAt: h.freshness.Now() - revoke})
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(h.store.calls.Load()-before).To(BeNumerically("<=", 8), "calls in 12 s")
	})
}

// TestOldReportsDoNotConfirm guards against trusting a configuration that nobody
// has confirmed: neither this instance nor the reporting one reaches the store, and
// the reports repeat an old confirmation.
func TestOldReportsDoNotConfirm(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.set(unresponsive)
		at := h.freshness.Now()
		for range 30 {
			h.peer.Set(peerstatus.Report{Position: revision(0), ConfirmedAt: at})
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(h.freshness.Within(revoke)).To(BeFalse())
	})
}

// TestSimultaneousChangesCauseFewUpdates registers 3,000 endpoints within a second,
// as at the start of a large deployment. It guards against one update of the index,
// which takes time in proportion to all endpoints, for each of them.
func TestSimultaneousChangesCauseFewUpdates(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		before := h.updates.Load()
		for i := range 3000 {
			h.store.register(fmt.Sprint("n", i), true)
			if i%100 == 0 {
				time.Sleep(30 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		g.Expect(h.accepts("n2999")).To(BeTrue())
		g.Expect(h.updates.Load() - before).To(BeNumerically("<=", 8))
	})
}

// TestSuccessiveChangesCauseFewCalls registers endpoints one after the other, as at
// the start of a deployment. It guards against one call to the store for each.
func TestSuccessiveChangesCauseFewCalls(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		before := h.store.calls.Load()
		for i := range 100 {
			h.store.register(fmt.Sprint("n", i), true)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		g.Expect(h.accepts("n99")).To(BeTrue())
		g.Expect(h.store.calls.Load() - before).To(BeNumerically("<=", 12))
	})
}

// drain drains the data centre of all endpoints, or takes it back.
func (s *store) drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = on
	if on {
		s.events = append(s.events, change.Drained{Centre: "c"})
		return
	}
	s.events = append(s.events, change.Undrained{Centre: "c"})
}

// TestDrainedCentre guards against work for a data centre that the store or another instance names as drained, and
// against one that stays drained: each change must be in force within noticeTime.
func TestDrainedCentre(t *testing.T) {
	report := func(h *harness, n uint64, unknown bool, drained ...string) {
		h.peer.Set(peerstatus.Report{
			Position: revision(n), After: revision(0), Complete: true, ConfirmedAt: h.freshness.Now(), Drained: drained, DrainedUnknown: unknown,
		})
	}
	for name, c := range map[string]struct {
		drain, undrain func(*harness)
	}{
		"watched": {func(h *harness) { h.store.drain(true) }, func(h *harness) { h.store.drain(false) }},
		"changes lost": {
			func(h *harness) { h.store.set(compacted); h.store.drain(true) }, func(h *harness) { h.store.set(compacted); h.store.drain(false) },
		},
		"turned away by the store": {
			func(h *harness) { h.store.set(down); time.Sleep(noticeTime); report(h, 1, false, "c") }, func(h *harness) { report(h, 2, false) },
		},
		"turned away by the store, and followed by the others": {
			func(h *harness) {
				h.store.set(down)
				time.Sleep(noticeTime)
				h.peer.SetDrained(peerstatus.Drained{Centres: []string{"c"}, Position: revision(501)})
				h.peer.SetDrained(peerstatus.Drained{Position: revision(500)}) // of one that is behind
			},
			func(h *harness) { h.peer.SetDrained(peerstatus.Drained{Position: revision(502)}) },
		},
		"behind the other instance": {
			func(h *harness) {
				h.store.set(down)
				time.Sleep(noticeTime)
				h.peer.Set(peerstatus.Report{Position: revision(500), ConfirmedAt: h.freshness.Now(), Drained: []string{"c"}})
			},
			func(h *harness) {
				h.peer.Set(peerstatus.Report{Position: revision(501), ConfirmedAt: h.freshness.Now()})
			},
		},
		"the other instance is of an older build": {
			func(h *harness) {
				h.reportUnchanged(10) // no watch is in progress that would tell
				h.store.drain(true)
				report(h, 1, true)
			},
			func(h *harness) { h.store.drain(false); report(h, 2, true) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(g *WithT, h *harness) {
				c.drain(h)
				time.Sleep(noticeTime)
				g.Expect(h.accepts("a")).To(BeFalse())
				g.Expect(h.watcher.Status().Drained).To(Equal([]string{"c"}), "told to other instances")
				c.undrain(h)
				time.Sleep(noticeTime)
				g.Expect(h.accepts("a")).To(BeTrue())
			})
		})
	}
}

// TestDrainedCentreAfterRestore guards against work for a drained data centre because the copy from which the store came
// back does not name it.
func TestDrainedCentreAfterRestore(t *testing.T) {
	run(t, func(g *WithT, h *harness) {
		h.store.drain(true)
		time.Sleep(noticeTime)
		h.store.restore(0)
		time.Sleep(20 * time.Second)
		g.Expect(h.accepts("a")).To(BeFalse())
		g.Expect(h.watcher.Status().Drained).To(BeEmpty(), "other instances know it themselves")
		time.Sleep(20 * time.Second)
		g.Expect(h.accepts("a")).To(BeTrue(), "nobody wrote it again")
	})
}
