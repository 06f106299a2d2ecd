package forwarder_test

// This file runs several instances that are connected over loopback.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/boottime"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
	"github.com/jacinthstile/jacinthstile/internal/edge/watcher"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cacheaware"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/routing/warmup"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/coordinator"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/forwarder"
)

// waitLimit bounds every wait of these tests. It is more than ten times what any of
// them needs, so that a busy machine does not fail them.
const waitLimit = 10 * time.Second

// fakeExecutor executes the pieces that one instance sends, and counts them.
type fakeExecutor struct {
	name  string
	made  atomic.Int64
	freed atomic.Int64
	hold  chan struct{} // if set, calls of Execute wait until it is closed
}

var _ executor.Executor = (*fakeExecutor)(nil)

// Execute returns a result for each piece, with handles that start with the name of the instance.
func (m *fakeExecutor) Execute(ctx context.Context, _ *registry.Endpoint, items []executor.Item) (executor.Response, error) {
	if m.hold != nil {
		select {
		case <-m.hold:
		case <-ctx.Done():
			return executor.Response{}, ctx.Err()
		}
	}
	out := make([]executor.Outcome, len(items))
	for i := range items {
		out[i].Handle = m.name + "/" + strconv.FormatInt(m.made.Add(1), 10)
	}
	return executor.Response{Outcomes: out}, nil
}

// Free counts the handles.
func (m *fakeExecutor) Free(_ context.Context, _ *registry.Endpoint, handles []string) error {
	m.freed.Add(int64(len(handles)))
	return nil
}

// instance is one instance with what a forwarder needs.
type instance struct {
	*forwarder.Forwarder
	*fakeExecutor
	address    string
	history    *history.History
	peerStatus *peerstatus.Latest
	registry   *registry.Registry
	index      atomic.Pointer[registry.Index] // of registry
	notices    *notice.Recorder
	revision   atomic.Uint64            // of the store, at least 1
	drained    atomic.Pointer[[]string] // data centres; nil for none
	version    atomic.Uint64            // of the catalog in force
	era        atomic.Uint64            // of the store
	eraSince   atomic.Int64             // when the instance saw it, by the boot clock; zero if it does not tell
	ineligible atomic.Bool
	silent     atomic.Bool // does not answer polls, for as long as it is set
	interrupt  func()      // ends the work on calls of peers, whose connections stay open
	stop       func()
	quarantine *quarantine.Quarantine
	limits     *ratelimit.Tracker
	starts     *slowstart.Tracker
	shutdown   *shutdown.Shutdown
}

// at returns a position of the store in its first era.
func at(revision uint64) position.Position { return position.Position{Revision: revision} }

func (in *instance) status() watcher.Status {
	for in.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	var drained []string
	if list := in.drained.Load(); list != nil {
		drained = *list
	}
	return watcher.Status{
		Drained:  drained,
		Position: position.Position{Era: in.era.Load(), Revision: max(1, in.revision.Load())}, Version: in.version.Load(),
		EraBeganBy: time.Duration(in.eraSince.Load()),
	}
}

// cluster starts instances that know the same catalog and endpoints.
type cluster struct {
	catalog *catalog.Catalog
	index   *registry.Index
	seed    string        // address of the first instance
	started int64         // instances started so far
	patient bool          // calls to endpoints take callOverhead
	work    time.Duration // of the processor for each look of the coordinator at the catalog, of which an order takes several
}

func newCluster() *cluster {
	return &cluster{
		catalog: catalog.New(1, nil, []*catalog.Service{
			{Name: "s", Batch: &catalog.Batch{MaxPieces: 10, MaxCalls: 1, CallOverhead: 10 * time.Millisecond, ResultBytes: 1 << 20, ResultRetention: time.Second}},
			{Name: "llm", Engine: &catalog.Engine{Slots: 4, Tokens: 1000}},
		}, nil, false, catalog.Limits{}),
		index: registry.NewIndex([]*registry.Endpoint{
			{ID: "s1", Service: "s", State: registry.Ready}, {ID: "e1", Service: "llm", State: registry.Ready},
		}),
	}
}

// start runs an instance until the test ends. Of instances with the same processor
// share the one that started last becomes the coordinator, unless there is one already.
func (c *cluster) start(t *testing.T, m *fakeExecutor, cpu int) *instance {
	t.Helper()
	return c.run(t, &instance{fakeExecutor: m}, cpu)
}

func (c *cluster) run(t *testing.T, in *instance, cpu int) *instance {
	t.Helper()
	tr, closeTransport := transport.New(identity.Identity{Name: in.name, Incarnation: 1, Seat: -1}, nil, logr.Discard())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in.address = l.Addr().String()
	if c.seed == "" {
		c.seed = in.address
	}
	c.started++
	in.shutdown = shutdown.New()
	catalogNow := func() *catalog.Catalog { return c.catalog }
	slowCatalog := func() *catalog.Catalog {
		for start := time.Now(); time.Since(start) < c.work; {
		}
		return c.catalog
	}
	endpointsNow := func() *registry.Index { return c.index }
	in.limits, in.quarantine, in.starts = ratelimit.New(), quarantine.New(), slowstart.New(1)
	var execute executor.Executor = in.fakeExecutor
	if c.patient {
		execute = patientExecutor{in.fakeExecutor}
	}
	bt := batcher.New(catalogNow, endpointsNow, execute, cooldown.New(), in.limits, brittle.New(), in.quarantine, logr.Discard())
	current := freshness.New(boottime.Now)
	current.Confirm(current.Now())
	candidate := election.Candidate{Address: in.address, MilliCPU: cpu, StartTime: c.started, Started: time.Now()}
	in.history, in.peerStatus = history.New(), peerstatus.New()
	in.registry = registry.New(time.Second, func(all []*registry.Endpoint) { in.index.Store(registry.NewIndex(all)) })
	in.registry.Put(registry.Endpoint{ID: "e1", StartTime: 3, Service: "llm", State: registry.Ready}, time.Now())
	in.notices = notice.New(in.registry, cooldown.New(), in.limits, warmup.New(in.limits, warmup.Allowance{}), pace.New(), in.starts, false, brittle.New(), logr.Discard(), tally.NoopScope)
	in.history.Reset(at(1))
	in.Forwarder = forwarder.New(in.address, coordinator.New(bt, cacheaware.New(), in.quarantine, in.limits, cooldown.New(), pace.New(), func([]pace.Change) {}, slowCatalog, endpointsNow, logr.Discard()),
		election.New(candidate, []string{c.seed}), tr, forwarder.LocalState{
			Eligible: func() bool { return !in.ineligible.Load() }, ReachesEndpoints: bt.ReachesEndpoints, Freshness: current, Status: in.status,
			History: in.history, Notices: in.notices, Quarantine: in.quarantine, Limits: in.limits, Versions: versionset.New(), Brittle: brittle.New(),
			Relay: func() relays.Relay { return relays.Relay{} }, Unreachable: func() []string { return nil }, CheckPaths: func() {}, HintPaths: func([]string, time.Time) {}, Relays: relays.New(""), PeerStatus: in.peerStatus, Shutdown: in.shutdown, Scope: tally.NoopScope,
		}, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		tr.Serve(ctx, l)
	}()
	go in.Run(ctx)
	in.interrupt = cancel
	in.stop = func() {
		cancel()
		l.Close()
		closeTransport()
		<-served
	}
	t.Cleanup(in.stop)
	return in
}

// failWith matches errors that are a fault with the given code.
func failWith(c code.Code) types.GomegaMatcher {
	return WithTransform(func(err error) bool {
		var f *fault.Fault
		return errors.As(err, &f) && f.Code == c
	}, BeTrue())
}

// round returns the parameters of the first preparation of a request with two pieces.
// The goal of the request is the time left from now, and its deadline a second later.
func (c *cluster) round(id string, left time.Duration) proxy.PrepareParams {
	now := time.Now()
	route := &catalog.Route{Kind: catalog.Stream, Stages: []catalog.Stage{{Service: "s", Bytes: 10}}}
	return proxy.PrepareParams{Request: &request.Request{
		ID: id, Route: route, Catalog: c.catalog, Service: "llm", PieceKey: "k", Pieces: []int{2}, Received: now,
		Goal: now.Add(left), Deadline: now.Add(left + time.Second), Prompt: []request.PromptPart{{ID: "p", Tokens: 10}},
	}}
}

// TestOrdersGoToTheCoordinator guards against an instance that carries out its own
// orders although another one is the coordinator: of two instances the one with the
// smaller processor share sends an order.
func TestOrdersGoToTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	p, err := weak.Prepare(t.Context(), c.round("r1", 2*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Inputs).To(ConsistOf("strong/1", "strong/2"))
	g.Expect(p.PreferredEndpoint).To(Equal("e1@0"))
	g.Expect(weak.made.Load()).To(BeZero())
	p.Started()
	p.Ended()
	g.Eventually(strong.freed.Load, waitLimit).Should(BeEquivalentTo(2), "results are freed once the engine has read them")
}

// TestOrderIsRetriedWhenCoordinatorIsLost guards against an order that fails or hangs
// because its coordinator stopped while it worked on the order.
func TestOrderIsRetriedWhenCoordinatorIsLost(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	type answer struct {
		proxy.Prepared
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		p, err := weak.Prepare(t.Context(), c.round("r1", 8*time.Second))
		answered <- answer{p, err}
	}()
	g.Consistently(answered, 700*time.Millisecond).ShouldNot(Receive())
	strong.stop()
	var a answer
	g.Eventually(answered, waitLimit).Should(Receive(&a))
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.Inputs).To(ConsistOf("weak/1", "weak/2"))
}

// TestInterruptedCoordinatorGivesNoAnswer guards against an internal error for the requests of
// other instances when a coordinator stops and ends its work before its connections: they go on
// as if it were lost.
func TestInterruptedCoordinatorGivesNoAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400) // first, so that it accepts the connection
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	claim := []ratelimit.Claim{{Endpoint: "e1@0", Limited: true, Rate: 0.5, At: time.Now()}}
	weak.notices.LearnLimits(claim)
	strong.notices.LearnLimits(claim)
	g.Eventually(func() bool {
		_, shares := weak.limits.Left("e1@0", time.Now())
		return shares
	}, waitLimit).Should(BeFalse(), "it follows the other one")
	r := c.round("r1", 8*time.Second)
	ordered, permitted := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := weak.Prepare(t.Context(), r)
		ordered <- err
	}()
	go func() {
		_, err := weak.Permit(t.Context(), proxy.PermitParams{Request: r.Request, Endpoints: []string{"e1@0"}, Latest: r.Request.Deadline})
		permitted <- err
	}()
	g.Consistently(ordered, 700*time.Millisecond).ShouldNot(Receive())
	g.Expect(permitted).NotTo(Receive(), "its turn comes later")
	strong.interrupt()
	var err error
	g.Eventually(ordered, waitLimit).Should(Receive(&err))
	g.Expect(err).NotTo(failWith(code.Internal))
	g.Eventually(permitted, waitLimit).Should(Receive(&err))
	g.Expect(err).NotTo(failWith(code.Internal))
}

// TestStoppingCoordinatorReturnsWaitingOrders guards against orders of other instances that a stopping
// coordinator keeps to its end although it cannot carry them out.
func TestStoppingCoordinatorReturnsWaitingOrders(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	inputs := make(chan []string, 1)
	go func() {
		p, err := weak.Prepare(t.Context(), c.round("r1", 8*time.Second))
		if err == nil {
			inputs <- p.Inputs
		}
	}()
	g.Consistently(inputs, 700*time.Millisecond).ShouldNot(Receive())
	strong.ineligible.Store(true)
	strong.shutdown.Advance(4 * time.Second)
	g.Consistently(inputs, 700*time.Millisecond).ShouldNot(Receive(), "there is time left")
	strong.shutdown.Advance(time.Second)
	g.Eventually(inputs, waitLimit).Should(Receive(ConsistOf("weak/1", "weak/2")))
}

// TestOrderStaysWithASilentCoordinator guards against starting running work again elsewhere
// because the coordinator is slow to answer polls for a while, although it works on the
// order and its connection lives.
func TestOrderStaysWithASilentCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	answered := make(chan []string, 1)
	go func() {
		p, _ := weak.Prepare(t.Context(), c.round("r1", 8*time.Second))
		answered <- p.Inputs
	}()
	g.Consistently(answered, 700*time.Millisecond).ShouldNot(Receive())
	strong.silent.Store(true)
	time.AfterFunc(1500*time.Millisecond, func() {
		close(strong.hold)
		strong.silent.Store(false)
	})
	// The coordinator itself queues the pieces of its held call again, so their numbers vary.
	g.Eventually(answered, waitLimit).Should(Receive(ConsistOf(HavePrefix("strong/"), HavePrefix("strong/"))))
	g.Expect(weak.made.Load()).To(BeZero(), "pieces that were executed again elsewhere")
}

// TestOrderLeavesACoordinatorThatStaysSilent guards against an order that waits for its
// deadline because its coordinator never answers polls again, although its process lives.
func TestOrderLeavesACoordinatorThatStaysSilent(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	defer strong.silent.Store(false)
	answered := make(chan []string, 1)
	start := time.Now()
	go func() {
		p, _ := weak.Prepare(t.Context(), c.round("r1", 9*time.Second))
		answered <- p.Inputs
	}()
	g.Consistently(answered, 700*time.Millisecond).ShouldNot(Receive())
	strong.silent.Store(true)
	g.Eventually(answered, waitLimit).Should(Receive(ConsistOf("weak/1", "weak/2")))
	g.Expect(time.Since(start)).To(BeNumerically("<", 7*time.Second))
}

// TestRefusalKeepsCodeAndRetryTime guards against a refusal of the coordinator that
// loses its code or its retry time on the way back, or counts as a lost coordinator:
// no stage has an endpoint, so the order is refused.
func TestRefusalKeepsCodeAndRetryTime(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.index = registry.NewIndex(nil)
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	c.start(t, &fakeExecutor{name: "strong"}, 400)
	_, err := weak.Prepare(t.Context(), c.round("r1", 2*time.Second))
	var refusal *fault.Fault
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "got %v", err)
	g.Expect(refusal.Code).To(Equal(code.NoEndpoint))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
}

// TestCancelledOrderIsEndedAtTheCoordinator guards against results that are kept for a
// caller that has left: the caller cancels while the coordinator works on its order.
func TestCancelledOrderIsEndedAtTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := weak.Prepare(ctx, c.round("r1", 8*time.Second))
		done <- err
	}()
	g.Consistently(done, 700*time.Millisecond).ShouldNot(Receive())
	cancel()
	g.Eventually(done, waitLimit).Should(Receive(MatchError(context.Canceled)))
	close(strong.hold)
	g.Eventually(func() bool { return strong.made.Load() > 0 && strong.freed.Load() == strong.made.Load() }, waitLimit).
		Should(BeTrue(), "the results made for the order are freed")
}

// TestStoreChangesAreSentByTheCoordinator guards against changes of the store that are
// lost or altered between the coordinator and an instance that polls it. A published
// catalog is too large to be sent, so there only the revision arrives.
func TestStoreChangesAreSentByTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	changes := []change.Change{
		change.Registered{Endpoint: registry.Endpoint{
			ID: "e", StartTime: 7, Service: "s", Address: "10.0.0.1:80", Centre: "a", Slots: 3, State: registry.Draining, Version: "v1.1",
			WarmUp: 1500 * time.Millisecond, Sequence: 12,
		}},
		change.Unregistered{ID: "f"},
	}
	strong.history.Add(changes, at(5))
	strong.revision.Store(5)
	received := func() bool {
		n, ok := weak.peerStatus.Get()
		return ok && n.Position == at(5)
	}
	g.Eventually(received, waitLimit).Should(BeTrue())
	n, _ := weak.peerStatus.Get()
	g.Expect(n.Complete).To(BeTrue())
	g.Expect(n.After).To(Equal(at(1)))
	g.Expect(n.Changes).To(Equal(changes))
	g.Expect(n.DrainedUnknown).To(BeFalse())
	g.Expect(n.Drained).To(BeEmpty())
	strong.history.Add([]change.Change{change.Published{}, change.Drained{Centre: "a"}}, at(6))
	strong.drained.Store(&[]string{"a"})
	strong.revision.Store(6)
	g.Eventually(func() bool {
		n, ok := weak.peerStatus.Get()
		return ok && n.Position == at(6) && !n.Complete && slices.Equal(n.Drained, []string{"a"})
	}, waitLimit).Should(BeTrue(), "a catalog is not sent, drained data centres are")
	weak.drained.Store(&[]string{"a", "b"})
	weak.revision.Store(7)
	g.Eventually(func() []string {
		told, _ := strong.peerStatus.Drained()
		return told.Centres
	}, waitLimit).Should(Equal([]string{"a", "b"}), "the leader may not reach the store")
}

// TestOddEndpointOfAPeer guards against using an endpoint that a peer of an older build took from an odd entry, and
// against leaving out the changes beside it.
func TestOddEndpointOfAPeer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	sound := registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Centre: "a", Slots: 3, State: registry.Ready}
	changes := []change.Change{change.Registered{Endpoint: sound}}
	for i, alter := range []func(*registry.Endpoint){
		func(e *registry.Endpoint) { e.Address = "10.0.0.1:70000" }, func(e *registry.Endpoint) { e.Address = "10.0.0.1:http" },
		func(e *registry.Endpoint) { e.Slots = 1 << 31 }, func(e *registry.Endpoint) { e.StartTime = -1 },
		func(e *registry.Endpoint) { e.Version = strings.Repeat("x", 1<<20) }, func(e *registry.Endpoint) { e.Centre = "a\xff\n" },
	} {
		odd := sound
		odd.ID = fmt.Sprint("odd", i)
		alter(&odd)
		changes = append(changes, change.Registered{Endpoint: odd})
	}
	strong.history.Add(changes, at(5))
	strong.revision.Store(5)
	g.Eventually(func() bool {
		n, ok := weak.peerStatus.Get()
		return ok && n.Position == at(5)
	}, waitLimit).Should(BeTrue())
	n, _ := weak.peerStatus.Get()
	g.Expect(n.Complete).To(BeTrue())
	g.Expect(n.Changes).To(HaveLen(len(changes)))
	g.Expect(n.Changes[0]).To(Equal(changes[0]))
	for i, got := range n.Changes[1:] {
		u, ok := got.(change.Unreadable)
		g.Expect(ok).To(BeTrue(), "%v", got)
		g.Expect(u.Endpoint).To(Equal(fmt.Sprint("odd", i)))
		g.Expect(len(u.Reason.Error())).To(BeNumerically("<", 300))
	}
}

// TestOddTextOfACaller guards against orders that are not sent to the coordinator, and against progress of other requests
// that is lost, as the id of a caller's request is no UTF-8.
func TestOddTextOfACaller(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	var started []func()
	for _, id := range []string{"r1", "r2\xff", "r3"} {
		p, err := weak.Prepare(t.Context(), c.round(id, 8*time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		started = append(started, p.Started)
	}
	g.Expect(strong.made.Load()).To(BeNumerically(">", 0))
	g.Expect(weak.made.Load()).To(BeZero(), "all orders go to the coordinator")
	for _, f := range started {
		f()
	}
	g.Eventually(func() bool { return strong.freed.Load() == strong.made.Load() }, waitLimit).Should(BeTrue(), "the results of all are freed")
}

// TestNewestVersionReachesAllInstances guards against an instance that trusts a store
// which has lost the newest version of the catalog: it must learn of that version also
// from an instance that is not the leader, and through a third one.
func TestNewestVersionReachesAllInstances(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	leader := c.start(t, &fakeExecutor{name: "leader"}, 800)
	knowing := c.start(t, &fakeExecutor{name: "knowing"}, 400)
	restarted := c.start(t, &fakeExecutor{name: "restarted"}, 400)
	knowing.version.Store(7)
	for _, in := range []*instance{leader, restarted} {
		g.Eventually(func() uint64 { return in.peerStatus.Fleet().Version }, waitLimit).Should(BeEquivalentTo(7), in.name)
	}
}

// TestAgeOfTheEraReachesAllInstances guards against instances that refuse keys after each start
// because no instance tells for how long the store has been in its era, and against taking the era
// for older than it is: of two instances that know it the one for longer counts, also through a
// third one, and one of an old build, which does not tell, says nothing.
func TestAgeOfTheEraReachesAllInstances(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	leader := c.start(t, &fakeExecutor{name: "leader"}, 800)
	knowing := c.start(t, &fakeExecutor{name: "knowing"}, 400)
	restarted := c.start(t, &fakeExecutor{name: "restarted"}, 400)
	all := []*instance{leader, knowing, restarted}
	for _, in := range all {
		in.era.Store(2)
	}
	for _, in := range all {
		g.Eventually(func() uint64 { return in.peerStatus.Fleet().Era }, waitLimit).Should(BeEquivalentTo(2), in.name)
		g.Expect(in.peerStatus.Fleet().EraBeganBy).To(BeZero(), in.name)
	}
	began := boottime.Now()
	restarted.eraSince.Store(int64(began))
	knowing.eraSince.Store(int64(began - time.Minute))
	for _, in := range []*instance{leader, restarted} {
		g.Eventually(func() time.Duration { return in.peerStatus.Fleet().EraBeganBy }, waitLimit).
			Should(BeNumerically("~", began-time.Minute, time.Second), in.name)
		g.Expect(in.peerStatus.Fleet().EraBeganBy).To(BeNumerically(">=", began-time.Minute), in.name)
	}
}

// TestLeavingEndpointIsToldToAllInstances guards against an endpoint that says in a
// response that it leaves, but gets work from the instances that did not get it.
func TestLeavingEndpointIsToldToAllInstances(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	all := []*instance{
		c.start(t, &fakeExecutor{name: "leader"}, 800), c.start(t, &fakeExecutor{name: "b"}, 400), c.start(t, &fakeExecutor{name: "c"}, 400),
	}
	all[1].notices.Record(all[1].index.Load().ByName("e1@3"), notice.Notice{Leaving: true}, time.Now())
	for _, in := range all {
		g.Eventually(func() bool { return in.index.Load().ByName("e1@3").AcceptsWork() }, waitLimit).Should(BeFalse(), in.name)
	}
}

// TestInstancesEligibleAtOnceFollowOneCoordinator guards against instances that each
// act as coordinator for themselves when they become eligible at the same moment. It
// comes about when all were restarted while the store was down, and get their first
// catalog when it recovers.
func TestInstancesEligibleAtOnceFollowOneCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	var all []*instance
	for i := range 5 {
		in := &instance{fakeExecutor: &fakeExecutor{name: strconv.Itoa(i)}}
		in.ineligible.Store(true)
		all = append(all, c.run(t, in, 400))
	}
	time.Sleep(1500 * time.Millisecond) // longer than an instance settles
	for _, in := range all {
		in.ineligible.Store(false)
	}
	coordinators := make(chan string, len(all))
	for i, in := range all {
		go func() {
			p, err := in.Prepare(t.Context(), c.round("r"+strconv.Itoa(i), 5*time.Second))
			if err != nil {
				coordinators <- err.Error()
				return
			}
			coordinators <- strings.Split(p.Inputs[0], "/")[0]
		}()
	}
	seen := make(map[string]bool)
	for range all {
		var m string
		g.Eventually(coordinators, waitLimit).Should(Receive(&m))
		seen[m] = true
	}
	g.Expect(seen).To(HaveLen(1), "%v acted as coordinator", seen)
}

// TestIsolatedInstanceServesItsOwnOrders guards against orders that fail because no
// other instance can be reached: the seeds do not answer.
func TestIsolatedInstanceServesItsOwnOrders(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.seed = "127.0.0.1:1" // a port without a listener
	alone := c.start(t, &fakeExecutor{name: "alone"}, 100)
	p, err := alone.Prepare(t.Context(), c.round("r1", 5*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Inputs).To(HaveLen(2))
}

// TestRestrictedOrdersStay guards against the order of a request at a coordinator that may be in another region: the instance
// that received the request prepares it, and chooses no engine elsewhere.
func TestRestrictedOrdersStay(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.index = registry.NewIndex([]*registry.Endpoint{
		{ID: "s1", Service: "s", Centre: "c", State: registry.Ready},
		{ID: "e1", Service: "llm", Centre: "b", State: registry.Ready}, {ID: "e2", Service: "llm", Centre: "a", State: registry.Ready},
	})
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	g.Eventually(func() bool {
		p, err := weak.Prepare(t.Context(), c.round("free", time.Second))
		if err == nil {
			p.Ended()
		}
		return strong.made.Load() > 0
	}, waitLimit).Should(BeTrue(), "the stronger one is the coordinator")
	before := strong.made.Load()
	for i := range 5 {
		r := c.round(fmt.Sprint("restricted", i), 3*time.Second)
		r.Request.Centres = []string{"a", "c"}
		p, err := weak.Prepare(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		defer p.Ended() // the engine is the busier one
		g.Expect(p.PreferredEndpoint).To(Equal("e2@0"))
	}
	g.Expect(strong.made.Load()).To(Equal(before))
}
