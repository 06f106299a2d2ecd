package desk_test

// This file tests desks of several instances over loopback.

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/boottime"
	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/proof"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/witness"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/prompt"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/desk"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/executor"
	"github.com/jacinthstile/jacinthstile/internal/stage/gatherer"
)

// soon bounds every wait of these tests; none needs a tenth of it.
const soon = 10 * time.Second

// maid makes pieces for one instance and counts them.
type maid struct {
	name  string
	made  atomic.Int64
	freed atomic.Int64
	hold  chan struct{} // calls wait until it is closed; nil for not at all
}

var _ executor.Executor = (*maid)(nil)

// Execute makes all pieces, with handles that tell who asked.
func (m *maid) Execute(ctx context.Context, _ *fleet.Endpoint, items []executor.Item) (executor.Response, error) {
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

// Free counts.
func (m *maid) Free(_ context.Context, _ *fleet.Endpoint, handles []string) error {
	m.freed.Add(int64(len(handles)))
	return nil
}

// instance is one daemon, as far as a desk needs it.
type instance struct {
	*desk.Desk
	*maid
	address  string
	history  *history.History
	witness  *witness.Witness
	revision atomic.Uint64
	unfit    atomic.Bool
	stop     func()
}

// world is what all instances know.
type world struct {
	catalog *catalog.Catalog
	index   *fleet.Index
	seed    string // address of the first instance
	started int64
}

func newWorld() *world {
	return &world{
		catalog: catalog.New(1, nil, []*catalog.Service{
			{Name: "s", Batch: &catalog.Batch{Most: 10, Calls: 1, Call: 10 * time.Millisecond, Room: 1 << 20, Keep: time.Second}},
			{Name: "llm", Engine: &catalog.Engine{Slots: 4, Tokens: 1000}},
		}, nil, false, catalog.Limits{}),
		index: fleet.NewIndex([]*fleet.Endpoint{
			{ID: "s1", Service: "s", State: fleet.Ready}, {ID: "e1", Service: "llm", State: fleet.Ready},
		}),
	}
}

// start runs an instance until the test ends. Of instances with the same power
// the one that started last gathers, where none does yet.
func (w *world) start(t *testing.T, own *maid, power int) *instance {
	t.Helper()
	return w.run(t, &instance{maid: own}, power)
}

func (w *world) run(t *testing.T, in *instance, power int) *instance {
	t.Helper()
	m, closeMesh := mesh.New(identity.Identity{Name: in.name, Incarnation: 1, Seat: -1}, nil, logr.Discard())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in.address = l.Addr().String()
	if w.seed == "" {
		w.seed = in.address
	}
	w.started++
	catalogNow := func() *catalog.Catalog { return w.catalog }
	fleetNow := func() *fleet.Index { return w.index }
	f := batcher.New(catalogNow, fleetNow, in.maid, logr.Discard())
	current := proof.New(boottime.Now)
	current.Renew(current.Now())
	candidate := election.Candidate{Address: in.address, Power: power, Since: w.started}
	in.history, in.witness = history.New(), witness.New()
	in.history.Reset(1)
	in.Desk = desk.New(in.address, gatherer.New(f, prompt.New(), catalogNow, fleetNow, logr.Discard()),
		election.New(candidate, []string{w.seed}), m, desk.State{
			Fit: func() bool { return !in.unfit.Load() }, Reaches: f.ReachesEndpoints, Proof: current, Revision: func() uint64 { return max(1, in.revision.Load()) },
			History: in.history, Witness: in.witness,
		}, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		m.Serve(ctx, l)
	}()
	go in.Run(ctx)
	in.stop = func() {
		cancel()
		l.Close()
		closeMesh()
		<-served
	}
	t.Cleanup(in.stop)
	return in
}

// round is the first round of a call with two pieces, on time if it ends within left.
func (w *world) round(id string, left time.Duration) proxy.Round {
	now := time.Now()
	route := &catalog.Route{Kind: catalog.Stream, Stages: []catalog.Stage{{Service: "s", Bytes: 10}}}
	return proxy.Round{Call: &call.Call{
		ID: id, Route: route, Catalog: w.catalog, Service: "llm", Key: "k", Pieces: []int{2}, Received: now,
		Goal: now.Add(left), Deadline: now.Add(left + time.Second), Prompt: []call.Part{{ID: "p", Tokens: 10}},
	}}
}

// TestOrdersGoToTheInstanceThatGathers has the weaker of two instances order.
func TestOrdersGoToTheInstanceThatGathers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	weak, strong := w.start(t, &maid{name: "weak"}, 100), w.start(t, &maid{name: "strong"}, 400)
	p, err := weak.Prepare(t.Context(), w.round("r1", 2*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Inputs).To(ConsistOf("strong/1", "strong/2"))
	g.Expect(p.Prefer).To(Equal("e1@0"))
	g.Expect(weak.made.Load()).To(BeZero())
	p.Started()
	p.Ended()
	g.Eventually(strong.freed.Load, soon).Should(BeEquivalentTo(2), "results are freed once they were taken")
}

// TestLostInstanceIsReplacedWithinAnOrder stops the instance that gathers while
// it works on an order.
func TestLostInstanceIsReplacedWithinAnOrder(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	weak := w.start(t, &maid{name: "weak"}, 100)
	strong := w.start(t, &maid{name: "strong", hold: make(chan struct{})}, 400)
	type answer struct {
		proxy.Prepared
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		p, err := weak.Prepare(t.Context(), w.round("r1", 8*time.Second))
		answered <- answer{p, err}
	}()
	g.Consistently(answered, 700*time.Millisecond).ShouldNot(Receive())
	strong.stop()
	var a answer
	g.Eventually(answered, soon).Should(Receive(&a))
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.Inputs).To(ConsistOf("weak/1", "weak/2"))
}

// TestRefusalsComeWithTheirCodeAndTime has the instance that gathers refuse
// what cannot be done in time.
func TestRefusalsComeWithTheirCodeAndTime(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.index = fleet.NewIndex(nil)
	weak := w.start(t, &maid{name: "weak"}, 100)
	w.start(t, &maid{name: "strong"}, 400)
	_, err := weak.Prepare(t.Context(), w.round("r1", 2*time.Second))
	var bad *fault.Fault
	g.Expect(errors.As(err, &bad)).To(BeTrue(), "got %v", err)
	g.Expect(bad.Code).To(Equal(code.NoEndpoint))
	g.Expect(bad.After).To(BeNumerically(">", 0))
}

// TestCallerThatLeavesEndsItsOrder cancels an order under way.
func TestCallerThatLeavesEndsItsOrder(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	weak := w.start(t, &maid{name: "weak"}, 100)
	strong := w.start(t, &maid{name: "strong", hold: make(chan struct{})}, 400)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := weak.Prepare(ctx, w.round("r1", 8*time.Second))
		done <- err
	}()
	g.Consistently(done, 700*time.Millisecond).ShouldNot(Receive())
	cancel()
	g.Eventually(done, soon).Should(Receive(MatchError(context.Canceled)))
	close(strong.hold)
	g.Eventually(func() bool { return strong.made.Load() > 0 && strong.freed.Load() == strong.made.Load() }, soon).
		Should(BeTrue(), "what was made for it is freed")
}

// TestChangesAreToldByTheInstanceThatGathers changes what it knows of the store.
func TestChangesAreToldByTheInstanceThatGathers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	weak, strong := w.start(t, &maid{name: "weak"}, 100), w.start(t, &maid{name: "strong"}, 400)
	changes := []change.Change{
		change.Registered{Endpoint: fleet.Endpoint{
			ID: "e", Born: 7, Service: "s", Address: "10.0.0.1:80", Centre: "a", Slots: 3, State: fleet.Draining,
		}},
		change.Unregistered{ID: "f"},
	}
	strong.history.Add(changes, 5)
	strong.revision.Store(5)
	told := func() bool {
		n, ok := weak.witness.Last()
		return ok && n.Revision == 5
	}
	g.Eventually(told, soon).Should(BeTrue())
	n, _ := weak.witness.Last()
	g.Expect(n.Told).To(BeTrue())
	g.Expect(n.After).To(BeEquivalentTo(1))
	g.Expect(n.Changes).To(Equal(changes))
	strong.history.Add([]change.Change{change.Published{}}, 6)
	strong.revision.Store(6)
	g.Eventually(func() bool {
		n, ok := weak.witness.Last()
		return ok && n.Revision == 6 && !n.Told
	}, soon).Should(BeTrue(), "a catalog is not told")
}

// TestInstancesThatBecomeFitTogetherFollowOne has all wait for their first
// catalog, as while the store is away after all were killed. Once it is there
// none gathers for itself.
func TestInstancesThatBecomeFitTogetherFollowOne(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	var all []*instance
	for i := range 5 {
		in := &instance{maid: &maid{name: strconv.Itoa(i)}}
		in.unfit.Store(true)
		all = append(all, w.run(t, in, 400))
	}
	time.Sleep(1500 * time.Millisecond) // longer than any instance waits for others at its start
	for _, in := range all {
		in.unfit.Store(false)
	}
	makers := make(chan string, len(all))
	for i, in := range all {
		go func() {
			p, err := in.Prepare(t.Context(), w.round("r"+strconv.Itoa(i), 5*time.Second))
			if err != nil {
				makers <- err.Error()
				return
			}
			makers <- strings.Split(p.Inputs[0], "/")[0]
		}()
	}
	seen := make(map[string]bool)
	for range all {
		var m string
		g.Eventually(makers, soon).Should(Receive(&m))
		seen[m] = true
	}
	g.Expect(seen).To(HaveLen(1), "%v gathered", seen)
}

// TestAloneAnInstanceGathersForItself starts one whose seeds do not answer.
func TestAloneAnInstanceGathersForItself(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.seed = "127.0.0.1:1" // a port without a listener
	alone := w.start(t, &maid{name: "alone"}, 100)
	p, err := alone.Prepare(t.Context(), w.round("r1", 5*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Inputs).To(HaveLen(2))
}
