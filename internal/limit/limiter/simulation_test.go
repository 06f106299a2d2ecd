package limiter_test

// This file simulates a fleet of instances and a network with injected faults.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/limit/limiter"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

const (
	deadline    = 4 * time.Second
	quietPeriod = 12 * time.Second
	delay       = time.Millisecond // one-way network delay between two nodes
)

var errCut = errors.New("connection cut by the test")

// node is one process of the fleet.
type node struct {
	*limiter.Limiter
	sim    *simulation
	name   string
	self   identity.Identity
	tables *holder.Holder
	stop   context.CancelFunc
	wake   chan struct{} // closed while the process runs, open while it is paused
	killed bool
}

// simulation is a simulated fleet. Requests in flight are counted at the
// endpoints, where they go on when the process that admitted them is killed.
type simulation struct {
	mu       sync.Mutex
	holders  map[int]*node // by seat; the same for every process
	nodes    map[string]*node
	cut      func(from, to string) bool
	starts   int
	inFlight int
	highest  int
	admitted int
	refused  int
	calls    int
	bytes    int
}

func newSimulation() *simulation {
	return &simulation{
		holders: map[int]*node{}, nodes: map[string]*node{}, cut: func(string, string) bool { return false },
	}
}

// start starts a process that holds a seat. From then on, the other processes
// find it as the holder.
func (sim *simulation) start(seat int, quietPeriod time.Duration, table *fleettable.Table) *node {
	sim.mu.Lock()
	sim.starts++
	n := &node{
		sim: sim, name: fmt.Sprintf("entry-%d.%d", seat, sim.starts), tables: holder.New(),
		self: identity.Identity{Seat: seat, Incarnation: uint64(sim.starts)},
		wake: make(chan struct{}),
	}
	n.self.Name = n.name
	close(n.wake)
	sim.holders[seat], sim.nodes[n.name] = n, n
	sim.mu.Unlock()
	n.Limiter = limiter.New(n.self, quietPeriod, n.tables, n, sim.find, logr.Discard())
	n.tables.Activate(table)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.Run(ctx)
	return n
}

func (sim *simulation) find(seat int) (string, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n := sim.holders[seat]
	if n == nil {
		return "", false
	}
	return n.name, true
}

// kill ends a process at once. Requests that it admitted go on at the endpoints.
func (n *node) kill() {
	n.sim.mu.Lock()
	n.killed = true
	n.sim.mu.Unlock()
	n.stop()
}

// pause suspends a process until the returned function is called.
func (n *node) pause() (wake func()) {
	c := make(chan struct{})
	n.sim.mu.Lock()
	n.wake = c
	n.sim.mu.Unlock()
	return func() { close(c) }
}

func (n *node) awake() {
	n.sim.mu.Lock()
	c := n.wake
	n.sim.mu.Unlock()
	<-c
}

// Call delivers a call to another node. It fails if either node is killed or the
// connection between them is cut; the answer alone can be lost too.
func (n *node) Call(ctx context.Context, address string, m method.Method, in, out proto.Message) (identity.Identity, error) {
	n.awake()
	sim := n.sim
	sim.mu.Lock()
	to := sim.nodes[address]
	lost := to == nil || to.killed || n.killed || sim.cut(n.name, address)
	sim.calls++
	sim.mu.Unlock()
	if lost {
		<-ctx.Done()
		return identity.Identity{}, &transport.ResponseLostError{Cause: errCut}
	}
	body, err := proto.Marshal(in)
	if err != nil {
		return identity.Identity{}, err
	}
	answered := make(chan []byte, 1)
	go func() {
		time.Sleep(delay)
		to.awake()
		var answer []byte
		if m == method.LimitTake {
			answer, _ = to.HandleTake(context.Background(), n.self, body)
		} else {
			answer, _ = to.HandleGive(context.Background(), n.self, body)
		}
		time.Sleep(delay)
		answered <- answer
	}()
	select {
	case answer := <-answered:
		sim.mu.Lock()
		sim.bytes += len(body) + len(answer)
		back := sim.cut(address, n.name)
		sim.mu.Unlock()
		n.awake()
		if back {
			return to.self, &transport.ResponseLostError{Cause: errCut}
		}
		return to.self, proto.Unmarshal(answer, out)
	case <-ctx.Done():
		return to.self, &transport.ResponseLostError{Cause: ctx.Err()}
	}
}

// request sends one request of an account to a node and returns when it has run
// for the given time. It reports whether the request was admitted.
func (sim *simulation) request(n *node, name string, runs time.Duration) (admitted bool) {
	n.awake()
	if n.isKilled() {
		return false
	}
	row := n.tables.Current().Account(name)
	release, err := n.Acquire(context.Background(), row, time.Now().Add(deadline))
	if err != nil {
		sim.locked(func() { sim.refused++ })
		return false
	}
	sim.locked(func() {
		sim.admitted++
		sim.inFlight++
		sim.highest = max(sim.highest, sim.inFlight)
	})
	time.Sleep(min(runs, deadline))
	sim.locked(func() { sim.inFlight-- })
	n.awake()
	if !n.isKilled() {
		release()
	}
	return true
}

func (n *node) isKilled() bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return n.killed
}

func (sim *simulation) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// maxInFlight returns the largest number of requests that were in flight at once.
func (sim *simulation) maxInFlight() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.highest
}

// table returns a table with one account, "acme".
func table(version uint64, seats, limit int, rate float64) *fleettable.Table {
	table := &fleettable.Table{
		Epoch: 1, Version: version,
		Policy:   &policy.Policy{Ticket: span.Span(time.Minute), Seats: seats},
		Accounts: []account.Account{{Name: "acme", Digest: account.DigestOf("k"), Weight: 1, Cap: limit, Rate: rate}},
		Pipelines: []pipeline.Pipeline{{
			Name: "p", Deadline: span.Span(deadline), Stages: []pipeline.Stage{{Name: "encode", Role: "encode"}},
		}},
	}
	if err := table.Freeze(); err != nil {
		panic(err)
	}
	return table
}
