package foreman_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/foreman"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/maker"
)

const (
	callTime = 200 * time.Millisecond
	itemTime = 10 * time.Millisecond
	most     = 20
)

// shop is the endpoints that make pieces, one call at a time each.
type shop struct {
	mu      sync.Mutex
	busy    map[string]bool
	held    map[string]map[string]bool // handles by endpoint
	calls   []int                      // pieces of each call
	made    int
	freed   int
	handles int
	highest int // results at one endpoint
	most    int // calls under way at once, since the last look
	others  int // calls of other instances that endpoints tell of
	trouble func(e *fleet.Endpoint, items []maker.Item) ([]maker.Outcome, error, bool)
	slow    map[string]time.Duration // beyond the usual time
	loses   int                      // of how many calls the answer to one is lost; zero for none
}

func newShop() *shop {
	return &shop{busy: map[string]bool{}, held: map[string]map[string]bool{}, slow: map[string]time.Duration{}}
}

// Make works for a call's time, and refuses where a call is under way already.
func (s *shop) Make(ctx context.Context, e *fleet.Endpoint, items []maker.Item) (maker.Answer, error) {
	out, err := s.work(ctx, e, items)
	s.mu.Lock()
	defer s.mu.Unlock()
	return maker.Answer{Outcomes: out, Calls: s.others}, err
}

func (s *shop) work(ctx context.Context, e *fleet.Endpoint, items []maker.Item) ([]maker.Outcome, error) {
	s.mu.Lock()
	if s.trouble != nil {
		if o, err, hit := s.trouble(e, items); hit {
			s.mu.Unlock()
			return o, err
		}
	}
	if s.busy[e.ID] {
		s.mu.Unlock()
		return nil, failure.New(failure.Refused, nil, "full")
	}
	s.busy[e.ID] = true
	s.calls = append(s.calls, len(items))
	busy := 0
	for _, b := range s.busy {
		if b {
			busy++
		}
	}
	s.most = max(s.most, busy)
	number := len(s.calls)
	took := callTime + time.Duration(len(items))*itemTime + s.slow[e.ID]
	s.mu.Unlock()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, failure.New(failure.Late, ctx.Err(), "waiting")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[e.ID] = false
	if s.held[e.ID] == nil {
		s.held[e.ID] = map[string]bool{}
	}
	out := make([]maker.Outcome, len(items))
	for i, it := range items {
		if !s.has(it.Inputs) {
			out[i].Reason = maker.Gone
			continue
		}
		s.handles++
		s.made++
		out[i].Handle = fmt.Sprint(e.ID, "/", s.handles)
		s.held[e.ID][out[i].Handle] = true
	}
	s.highest = max(s.highest, len(s.held[e.ID]))
	if s.loses > 0 && number%s.loses == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return nil, failure.New(failure.Late, ctx.Err(), "waiting")
	}
	return out, nil
}

func (s *shop) has(inputs []string) bool {
	for _, h := range inputs {
		found := false
		for _, held := range s.held {
			found = found || held[h]
		}
		if !found {
			return false
		}
	}
	return true
}

// Free drops results.
func (s *shop) Free(_ context.Context, e *fleet.Endpoint, handles []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range handles {
		delete(s.held[e.ID], h)
		s.freed++
	}
	return nil
}

func (s *shop) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, held := range s.held {
		n += len(held)
	}
	return n
}

var errReset = errors.New("connection reset")

// world is a foreman before two services, "first" with two endpoints and
// "second" with one.
type world struct {
	*foreman.Foreman
	shop  *shop
	index *fleet.Index
	n     int
}

func play(t *testing.T, f func(g *WithT, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{shop: newShop()}
		batch := catalog.Batch{Most: most, Calls: 1, Call: callTime, Item: itemTime, Room: 1000, Keep: 4 * time.Second}
		c := catalog.New(1, nil, []*catalog.Service{{Name: "first", Batch: &batch}, {Name: "second", Batch: &batch}}, nil, false, catalog.Limits{})
		w.index = fleet.NewIndex([]*fleet.Endpoint{
			{ID: "a", Service: "first", Address: "a:1", State: fleet.Ready},
			{ID: "b", Service: "first", Address: "b:1", State: fleet.Ready},
			{ID: "c", Service: "second", Address: "c:1", State: fleet.Ready},
		})
		w.Foreman = foreman.New(func() *catalog.Catalog { return c }, func() *fleet.Index { return w.index }, w.shop, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		f(NewWithT(t), w)
		cancel()
		<-done
		time.Sleep(20 * time.Second) // calls under way end
	})
}

// job returns a job of a chain of both services.
func (w *world) job(first, second int, goal time.Duration) *job.Job {
	w.n++
	now := time.Now()
	stages := []catalog.Stage{{Service: "first", Bytes: 10}, {Service: "second", After: []int{0}, Bytes: 10}}
	id := fmt.Sprint("j", w.n)
	return job.New(id, id, "key", stages, []int{first, second}, 1, now.Add(goal), now.Add(goal+3*time.Second))
}

// prepare does jobs at the same time, and returns their errors.
func (w *world) prepare(jobs ...*job.Job) []error {
	errs := make([]error, len(jobs))
	var all sync.WaitGroup
	for i, j := range jobs {
		all.Go(func() { _, errs[i] = w.Prepare(context.Background(), j) })
	}
	all.Wait()
	return errs
}

func succeed(g *WithT, errs []error) {
	for i, err := range errs {
		g.Expect(err).NotTo(HaveOccurred(), "job %d", i)
	}
}

func TestChainEndsAndItsResultsAreFreed(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		j := w.job(2, 3, 2*time.Second)
		results, err := w.Prepare(context.Background(), j)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results).To(HaveLen(3))
		time.Sleep(time.Second)
		g.Expect(w.shop.left()).To(Equal(3), "the request has not taken them yet, the inputs of the second stage are freed")
		w.Release(j.ID)
		time.Sleep(time.Second)
		g.Expect(w.shop.left()).To(BeZero())
		g.Expect(w.Jobs()).To(BeZero())
	})
}

// TestOthersAreLeftRoom has endpoints tell of other instances' calls: a light
// load then goes to one endpoint, until they tell of none for a while.
func TestOthersAreLeftRoom(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		load := func(others int) (most int) {
			w.shop.mu.Lock()
			w.shop.most, w.shop.others = 0, others
			w.shop.mu.Unlock()
			var all sync.WaitGroup
			for range 20 {
				j := w.job(1, 0, 2*time.Second)
				all.Go(func() { w.prepare(j) })
				time.Sleep(100 * time.Millisecond)
			}
			all.Wait()
			w.shop.mu.Lock()
			defer w.shop.mu.Unlock()
			return w.shop.most
		}
		g.Expect(load(0)).To(Equal(2), "both endpoints are used")
		load(1)
		g.Expect(load(1)).To(Equal(1), "one is left to others")
		load(0)
		g.Expect(load(0)).To(Equal(2), "nobody else is there any more")
	})
}

// TestCallsFillUnderLoad starts far more jobs than endpoints: all but the
// first calls have to be full.
func TestCallsFillUnderLoad(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		var jobs []*job.Job
		for range 40 {
			jobs = append(jobs, w.job(3, 0, 5*time.Second))
		}
		succeed(g, w.prepare(jobs...))
		g.Expect(w.shop.made).To(Equal(120))
		g.Expect(len(w.shop.calls)).To(BeNumerically("<=", 8), "calls %v", w.shop.calls)
	})
}

// TestFullEndpointsAreNoReasonToRefuse replays a restart: the calls of the
// process before still run, so endpoints refuse for a while.
func TestFullEndpointsAreNoReasonToRefuse(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		until := time.Now().Add(400 * time.Millisecond)
		w.shop.trouble = func(*fleet.Endpoint, []maker.Item) ([]maker.Outcome, error, bool) {
			return nil, failure.New(failure.Refused, nil, "full"), time.Now().Before(until)
		}
		errs := make(chan error, 20)
		for range 20 {
			j := w.job(1, 1, 3*time.Second)
			go func() { errs <- w.prepare(j)[0] }()
			time.Sleep(10 * time.Millisecond)
		}
		for range 20 {
			g.Expect(<-errs).NotTo(HaveOccurred())
		}
	})
}

func TestFailedCallsAreMadeElsewhere(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.shop.trouble = func(e *fleet.Endpoint, _ []maker.Item) ([]maker.Outcome, error, bool) {
			return nil, failure.New(failure.Lost, errReset, "reset"), e.ID == "a"
		}
		succeed(g, w.prepare(w.job(4, 2, 3*time.Second), w.job(4, 2, 3*time.Second)))
	})
}

func TestHungCallIsMadeElsewhere(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.shop.slow["a"] = time.Minute
		w.shop.slow["b"] = 0
		start := time.Now()
		succeed(g, w.prepare(w.job(1, 1, 3*time.Second), w.job(1, 1, 3*time.Second), w.job(1, 1, 3*time.Second)))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	})
}

// TestLostAnswersKeepNoEndpointIdle replays endpoints that work on all calls,
// and of which each third answer is lost without a word.
func TestLostAnswersKeepNoEndpointIdle(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.shop.loses = 3
		errs := make(chan error, 60)
		for range 60 {
			j := w.job(4, 0, 3*time.Second)
			go func() { errs <- w.prepare(j)[0] }()
			time.Sleep(100 * time.Millisecond)
		}
		for range 60 {
			g.Expect(<-errs).NotTo(HaveOccurred())
		}
	})
}

// TestSlowEndpointsAreNotPiledOn has one endpoint that takes far longer than it
// should: it gets a second call while the first is overdue, and no more.
func TestSlowEndpointsAreNotPiledOn(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.shop.slow["a"] = 5 * time.Second
		asked := 0
		w.shop.trouble = func(e *fleet.Endpoint, _ []maker.Item) ([]maker.Outcome, error, bool) {
			if e.ID == "a" {
				asked++
			}
			return nil, nil, false
		}
		errs := make(chan error, 40)
		for range 40 {
			j := w.job(2, 0, 3*time.Second)
			go func() { errs <- w.prepare(j)[0] }()
			time.Sleep(100 * time.Millisecond)
		}
		for range 40 {
			g.Expect(<-errs).NotTo(HaveOccurred())
		}
		w.shop.mu.Lock()
		defer w.shop.mu.Unlock()
		g.Expect(asked).To(BeNumerically("<=", 60), "a full endpoint is asked again after a rest")
		g.Expect(w.shop.highest * 10).To(BeNumerically("<=", 1000))
	})
}

// TestLostInputsAreMadeAgain crashes an endpoint, with the results that it
// holds, between two stages.
func TestLostInputsAreMadeAgain(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		go func() {
			time.Sleep(callTime + 3*itemTime + 50*time.Millisecond) // the first stage is done
			w.shop.mu.Lock()
			clear(w.shop.held)
			w.shop.mu.Unlock()
		}()
		results, err := w.Prepare(context.Background(), w.job(2, 2, 3*time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results).To(HaveLen(2))
	})
}

func TestRoomIsKept(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		var jobs []*job.Job
		for range 10 {
			jobs = append(jobs, w.job(20, 0, 4*time.Second)) // 200 bytes each, where 900 of an endpoint are used
		}
		for i, err := range w.prepare(jobs[:9]...) {
			g.Expect(err).NotTo(HaveOccurred(), "job %d", i)
		}
		w.shop.mu.Lock()
		defer w.shop.mu.Unlock()
		g.Expect(w.shop.highest * 10).To(BeNumerically("<=", 1000))
	})
}

func TestCancelledJobFreesItsResults(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := w.Prepare(ctx, w.job(2, 2, 3*time.Second))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		time.Sleep(time.Second)
		g.Expect(w.shop.left()).To(BeZero())
		g.Expect(w.Jobs()).To(BeZero())
	})
}

func TestRefusalsAreAtOnce(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.index = fleet.NewIndex(nil)
		start := time.Now()
		err := w.prepare(w.job(1, 1, 3*time.Second))[0]
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(fault.From(err).Code).To(Equal(code.NoEndpoint))
		g.Expect(fault.From(err).After).To(BeNumerically(">", 0))
	})
}

// TestNoRoomIsNoFailure has an endpoint without room for any result: the
// pieces wait or go elsewhere, however many they are.
func TestNoRoomIsNoFailure(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		until := time.Now().Add(500 * time.Millisecond)
		w.shop.trouble = func(_ *fleet.Endpoint, items []maker.Item) ([]maker.Outcome, error, bool) {
			o := make([]maker.Outcome, len(items))
			for i := range o {
				o[i].Reason = maker.Room
			}
			return o, nil, time.Now().Before(until)
		}
		succeed(g, w.prepare(w.job(18, 1, 3*time.Second)))
	})
}

// TestIdleMeansFreed checks that a foreman is not idle while results are still
// to be freed, so that a process that ends leaves none behind.
func TestIdleMeansFreed(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		j := w.job(2, 2, 2*time.Second)
		_, err := w.Prepare(context.Background(), j)
		g.Expect(err).NotTo(HaveOccurred())
		w.Release(j.ID)
		g.Expect(w.Jobs()).To(BeZero())
		g.Expect(w.Idle()).To(BeFalse())
		for !w.Idle() {
			time.Sleep(time.Millisecond)
		}
		g.Expect(w.shop.left()).To(BeZero())
	})
}

// TestNoTimeIsRefusedAtOnce has a caller that returns when its time is nearly over.
func TestNoTimeIsRefusedAtOnce(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		j := w.job(1, 1, 3*time.Second)
		now := time.Now()
		short := job.New(j.ID, j.ID, j.Key, j.Stages, j.Pieces, 1, now.Add(3*time.Second), now.Add(300*time.Millisecond))
		g.Expect(fault.From(w.prepare(short)[0]).Code).To(Equal(code.Overloaded))
		g.Expect(time.Since(now)).To(BeZero())
	})
}

// TestLateOutcomeOfAPieceMadeElsewhere has a call that hangs, so that its
// pieces are made elsewhere and their inputs are freed. When it ends all the
// same it finds the inputs gone: that is no reason to make anything again.
func TestLateOutcomeOfAPieceMadeElsewhere(t *testing.T) {
	play(t, func(g *WithT, w *world) {
		w.index = fleet.NewIndex([]*fleet.Endpoint{
			{ID: "a", Service: "first", Address: "a:1", State: fleet.Ready},
			{ID: "c", Service: "second", Address: "c:1", State: fleet.Ready},
			{ID: "d", Service: "second", Address: "d:1", State: fleet.Ready},
		})
		w.shop.slow["c"] = 2 * time.Second
		now := time.Now()
		stages := []catalog.Stage{
			{Service: "first", Bytes: 1}, {Service: "second", After: []int{0}, Bytes: 1}, {Service: "first", After: []int{1}, Bytes: 1},
		}
		j := job.New("j", "j", "key", stages, []int{2, 10, 100}, 1, now.Add(9*time.Second), now.Add(12*time.Second))
		_, err := w.Prepare(context.Background(), j)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		g.Expect(w.shop.calls).To(Equal([]int{2, 10, 10, 20, 20, 20, 20, 20}))
		w.Release(j.ID)
	})
}

// TestOrderBeforeTheFirstCatalog has another instance ask one that has just
// been restarted and knows no catalog yet.
func TestOrderBeforeTheFirstCatalog(t *testing.T) {
	g := NewWithT(t)
	f := foreman.New(func() *catalog.Catalog { return nil }, func() *fleet.Index { return fleet.NewIndex(nil) }, newShop(), logr.Discard())
	now := time.Now()
	j := job.New("j", "j", "key", []catalog.Stage{{Service: "first"}}, []int{1}, 0, now.Add(time.Second), now.Add(2*time.Second))
	_, err := f.Prepare(context.Background(), j)
	g.Expect(fault.From(err).Code).To(Equal(code.NotReady))
	g.Expect(fault.From(err).After).To(BeNumerically(">", 0))
}
