package follower_test

import (
	"context"
	"errors"
	"fmt"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/follower"
	"github.com/jacinthstile/jacinthstile/internal/edge/proof"
	"github.com/jacinthstile/jacinthstile/internal/edge/witness"
)

// state is what is wrong with the store.
type state int

const (
	sound state = iota
	down
	silent
	compacted
)

var errDown = errors.New("down")

// store is a source whose state the tests set.
type store struct {
	mu      sync.Mutex
	state   state
	version uint64
	ready   map[string]bool
	events  []change.Change
	calls   atomic.Int64
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
	return change.Registered{Endpoint: fleet.Endpoint{ID: id, Service: "s", Address: id + ":1", Centre: "c", Slots: 1, State: fleet.Ready}}
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

func (s *store) enter(ctx context.Context) error {
	s.calls.Add(1)
	s.mu.Lock()
	st := s.state
	s.mu.Unlock()
	switch st {
	case down:
		return errDown
	case silent:
		<-ctx.Done()
		return ctx.Err()
	default:
		time.Sleep(4 * time.Millisecond)
		return nil
	}
}

func (s *store) List(ctx context.Context) ([]change.Change, uint64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == compacted {
		s.state = sound
	}
	list := []change.Change{published(s.version)}
	for id := range s.ready {
		list = append(list, registered(id))
	}
	return list, uint64(len(s.events)), nil
}

func (s *store) Watch(ctx context.Context, after uint64, wait time.Duration) ([]change.Change, uint64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		all, st := s.events, s.state
		s.mu.Unlock()
		switch {
		case st == compacted:
			return nil, 0, follower.ErrCompacted
		case st == silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case st == down:
			return nil, 0, errDown
		case uint64(len(all)) > after:
			return all[after:], uint64(len(all)), nil
		case !time.Now().Before(end):
			return nil, uint64(len(all)), nil
		}
	}
}

// world is a follower of a store, in a bubble.
type world struct {
	store    *store
	proof    *proof.Proof
	witness  *witness.Witness
	follower *follower.Follower
	version  atomic.Uint64
	index    atomic.Pointer[fleet.Index]
	handed   atomic.Int64 // times that the endpoints were handed out
}

func (w *world) uses(id string) bool {
	e := w.index.Load().Named(id + "@0")
	return e != nil && e.Takes()
}

// hear has the witness prove some times that nothing changed.
func (w *world) hear(times int) {
	for range times {
		w.witness.Hear(witness.News{At: w.proof.Now()})
		time.Sleep(300 * time.Millisecond)
	}
}

// play runs a follower of a store with one catalog and two endpoints.
func play(t *testing.T, f func(g *WithT, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := &world{store: &store{version: 1, ready: map[string]bool{"a": true, "b": true}}, witness: witness.New()}
		w.proof = proof.New(func() time.Duration { return time.Since(start) + time.Hour })
		members := fleet.New(func(all []*fleet.Endpoint) {
			w.index.Store(fleet.NewIndex(all))
			w.handed.Add(1)
		})
		ctx, cancel := context.WithCancel(t.Context())
		w.follower = follower.New(w.store, w.witness, w.proof, members, func(c *catalog.Catalog) { w.version.Store(c.Version) }, logr.Discard())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.follower.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		f(NewWithT(t), w)
		cancel()
		<-done
	})
}

const revoke = 5 * time.Second // the bound that proofs serve

func TestProofStaysYoungAndCallsAreFew(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		before := w.store.calls.Load()
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(w.store.calls.Load()-before).To(BeNumerically("<=", 20), "calls in 20 s")
	})
}

func TestChangesComeSoon(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.publish(5)
		w.store.register("b", false)
		w.store.register("c", true)
		time.Sleep(50 * time.Millisecond)
		g.Expect(w.version.Load()).To(Equal(uint64(5)))
		g.Expect(w.uses("b")).To(BeFalse())
		g.Expect(w.uses("c")).To(BeTrue())
	})
}

func TestVersionsOnlyRise(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.publish(5)
		time.Sleep(50 * time.Millisecond)
		w.store.publish(3)
		time.Sleep(50 * time.Millisecond)
		g.Expect(w.version.Load()).To(Equal(uint64(5)))
	})
}

// TestOutages takes the store away in each way. The proof ages, endpoints that
// lapse meanwhile stay in use, and all is current again soon after the return.
func TestOutages(t *testing.T) {
	for _, st := range []state{down, silent} {
		t.Run(fmt.Sprint(st), func(t *testing.T) {
			play(t, func(g *WithT, w *world) {
				w.store.set(st)
				time.Sleep(6 * time.Second)
				g.Expect(w.proof.Within(revoke)).To(BeFalse(), "keys are not trusted without a proof")
				w.store.register("a", false) // a lapse
				w.store.register("b", false) // gone for good
				w.store.publish(2)
				w.store.set(sound)
				time.Sleep(1500 * time.Millisecond)
				g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
				g.Expect(w.version.Load()).To(Equal(uint64(2)))
				g.Expect(w.uses("a")).To(BeTrue(), "it may only have lapsed")
				w.store.register("a", true)
				time.Sleep(fleet.Settle + 2*time.Second)
				g.Expect(w.uses("a")).To(BeTrue())
				g.Expect(w.uses("b")).To(BeFalse(), "it did not come back")
			})
		})
	}
}

func TestLostHistoryIsListed(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.set(compacted)
		w.store.register("b", false)
		time.Sleep(time.Second)
		g.Expect(w.uses("a")).To(BeTrue())
		g.Expect(w.uses("b")).To(BeFalse())
		g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
	})
}

func TestUnreadableEntriesNameNoEndpoint(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.mu.Lock()
		w.store.events = append(w.store.events, change.Unreadable{Endpoint: "b", Reason: errDown}, change.Unreadable{Reason: errDown})
		w.store.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		g.Expect(w.uses("a")).To(BeTrue())
		g.Expect(w.uses("b")).To(BeFalse())
		g.Expect(w.version.Load()).To(Equal(uint64(1)))
	})
}

// TestWitnessSparesCalls has another instance prove that nothing changed: no
// call is made until it knows of a change, and the proof stays young.
func TestWitnessSparesCalls(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		revision := uint64(0)
		hear := func(n int) {
			for range n {
				w.witness.Hear(witness.News{Revision: revision, At: w.proof.Now() - 200*time.Millisecond})
				time.Sleep(300 * time.Millisecond)
				g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
			}
		}
		hear(10) // a watch of its own may have been under way
		before := w.store.calls.Load()
		hear(60)
		g.Expect(w.store.calls.Load()).To(Equal(before))
		w.store.publish(2)
		revision = 1
		hear(2)
		g.Expect(w.version.Load()).To(Equal(uint64(2)))
		g.Expect(w.store.calls.Load()).To(BeNumerically("<=", before+2))
		time.Sleep(5 * time.Second)
		g.Expect(w.proof.Within(revoke/2)).To(BeTrue(), "without a witness it asks for itself")
	})
}

// TestToldOfManyChangesAsksSeldom has a witness that knows of another change
// each time that it is heard, as while a service is released: each change is in
// force within 1 s, by less than two calls a second.
func TestToldOfManyChangesAsksSeldom(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.witness.Hear(witness.News{Revision: 0, At: w.proof.Now()})
		time.Sleep(2 * time.Second) // a watch of its own may have been under way
		before := w.store.calls.Load()
		for i := range 40 {
			w.store.register(fmt.Sprint("n", i), true)
			w.witness.Hear(witness.News{Revision: uint64(i + 1), At: w.proof.Now()})
			time.Sleep(300 * time.Millisecond)
			if i >= 3 {
				g.Expect(w.uses(fmt.Sprint("n", i-3))).To(BeTrue(), "change %d", i-3)
			}
		}
		g.Expect(w.store.calls.Load() - before).To(BeNumerically("<=", 24))
	})
}

// TestToldChangesSpareCalls has a witness tell of a change each time that it is
// heard, as while a service is released: each is in force at once and the store
// is not asked at all.
func TestToldChangesSpareCalls(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.hear(10) // a watch of its own may have been under way
		before := w.store.calls.Load()
		for i := range uint64(40) {
			id := fmt.Sprint("n", i)
			w.witness.Hear(witness.News{
				Revision: i + 1, At: w.proof.Now(), Changes: []change.Change{registered(id)}, After: i, Told: true,
			})
			time.Sleep(300 * time.Millisecond)
			g.Expect(w.uses(id)).To(BeTrue())
			g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(w.store.calls.Load()).To(Equal(before))
		w.witness.Hear(witness.News{
			Revision: 41, At: w.proof.Now(), Changes: []change.Change{change.Unregistered{ID: "a"}, registered("c")}, After: 38, Told: true,
		})
		time.Sleep(10 * time.Millisecond)
		g.Expect(w.uses("a")).To(BeFalse(), "some changes were known already")
		g.Expect(w.uses("c")).To(BeTrue())
		list, to, ok := w.follower.History().Since(0)
		g.Expect(ok).To(BeTrue(), "it can tell others in turn")
		g.Expect(to).To(BeEquivalentTo(41))
		g.Expect(len(list)).To(BeNumerically(">=", 42))
	})
}

// TestChangesWithAGapAreNotTaken has a witness tell changes that begin after
// more than this instance knows: it asks the store.
func TestChangesWithAGapAreNotTaken(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.hear(10)
		w.store.register("c", true)
		w.store.register("b", false)
		w.witness.Hear(witness.News{Revision: 2, At: w.proof.Now(), Changes: []change.Change{change.Unregistered{ID: "b"}}, After: 1, Told: true})
		time.Sleep(700 * time.Millisecond)
		g.Expect(w.uses("c")).To(BeTrue())
		g.Expect(w.uses("b")).To(BeFalse())
	})
}

// TestTurnedAwayWithAWitnessAsksSeldom has a store that turns this instance
// away and serves its witness: as long as nothing changes it is not asked, and
// what is known counts as current.
func TestTurnedAwayWithAWitnessAsksSeldom(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.set(down)
		time.Sleep(2 * time.Second) // it takes notice
		hear := func(n int) {
			for range n {
				w.witness.Hear(witness.News{Revision: 0, At: w.proof.Now() - 200*time.Millisecond})
				time.Sleep(300 * time.Millisecond)
			}
		}
		hear(2) // it may rest after a failure, 0.5 s at most
		before := w.store.calls.Load()
		for range 30 {
			hear(1)
			g.Expect(w.proof.Within(revoke / 2)).To(BeTrue())
		}
		g.Expect(w.store.calls.Load() - before).To(BeNumerically("<=", 2))
		g.Expect(w.uses("a")).To(BeTrue())
	})
}

// TestStoreThatIsAwayForAllIsAskedSeldom takes the store away from this instance
// and from its witness, which hears of its return first.
func TestStoreThatIsAwayForAllIsAskedSeldom(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		at := w.proof.Now()
		w.witness.Hear(witness.News{At: at})
		w.store.set(down)
		time.Sleep(2 * time.Second) // it takes notice
		before := w.store.calls.Load()
		for range 40 {
			w.witness.Hear(witness.News{At: at})
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(w.store.calls.Load()-before).To(BeNumerically("<=", 16), "calls in 12 s")
		g.Expect(w.proof.Within(revoke)).To(BeFalse())
		w.witness.Hear(witness.News{At: w.proof.Now()})
		time.Sleep(10 * time.Millisecond)
		g.Expect(w.proof.Within(revoke)).To(BeTrue())
	})
}

// TestOldProofsOfAWitnessGrantNothing cuts this instance off from the store,
// with a witness that is cut off as well.
func TestOldProofsOfAWitnessGrantNothing(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.store.set(silent)
		at := w.proof.Now()
		for range 30 {
			w.witness.Hear(witness.News{Revision: 0, At: at})
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(w.proof.Within(revoke)).To(BeFalse())
	})
}

// TestChangesThatComeTogetherAreHandedOutOnce registers 3,000 endpoints within a
// second, as at the start of a large fleet.
func TestChangesThatComeTogetherAreHandedOutOnce(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		before := w.handed.Load()
		for i := range 3000 {
			w.store.register(fmt.Sprint("n", i), true)
			if i%100 == 0 {
				time.Sleep(30 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		g.Expect(w.uses("n2999")).To(BeTrue())
		g.Expect(w.handed.Load() - before).To(BeNumerically("<=", 8))
	})
}

// TestManyChangesTakeFewCalls registers endpoints one after the other, as at
// the start of a fleet.
func TestManyChangesTakeFewCalls(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		before := w.store.calls.Load()
		for i := range 100 {
			w.store.register(fmt.Sprint("n", i), true)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		g.Expect(w.uses("n99")).To(BeTrue())
		g.Expect(w.store.calls.Load() - before).To(BeNumerically("<=", 12))
	})
}
