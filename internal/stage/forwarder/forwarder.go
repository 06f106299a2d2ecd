// Package forwarder forwards the orders of this instance to the coordinator: the elected
// instance that batches the stage work of all instances and chooses the engines of
// their requests.
//
// It polls the other instances to take part in the election, sends orders to the
// leader, retries them on the next leader if a coordinator is lost, and serves the
// polls and orders of other instances. If this instance is the leader itself, or if
// no leader answers, it carries out its orders itself. All calls to peers go through
// the transport.
package forwarder

// This file defines Forwarder and prepares calls.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/admission/shedder"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
	"github.com/jacinthstile/jacinthstile/internal/edge/watcher"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/coordinator"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/fleetsize"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/roster"
	"github.com/jacinthstile/jacinthstile/internal/stage/storelag"
	"github.com/jacinthstile/jacinthstile/internal/stage/workload"
)

const maxCoordinators = 3 // maximum number of other instances that one order is sent to, one after the other

// Forwarder forwards orders to the coordinator. It implements proxy.Preparer and is
// safe for concurrent use.
type Forwarder struct {
	self             string
	local            *coordinator.Coordinator
	election         *election.Election
	transport        *transport.Transport
	eligible         func() bool
	reachesEndpoints func() bool
	storeLag         *storelag.Detector
	freshness        *freshness.Tracker
	peerStatus       *peerstatus.Latest
	status           func() watcher.Status // what this instance knows of the store
	history          *history.History
	notices          *notice.Recorder
	quarantine       *quarantine.Quarantine
	limits           *ratelimit.Tracker
	versions         *versionset.Tracker
	origins          *origins
	brittle          *brittle.Tracker
	relay            func() relays.Relay
	unreachable      func() []string
	checkPaths       func()
	hintPaths        func(services []string, now time.Time)
	relays           *relays.List
	shutdown         *shutdown.Shutdown
	roster           *roster.Roster
	fleet            *fleetsize.Counter
	workload         *workload.Recorder
	shedder          *shedder.Shedder
	log              logr.Logger

	polling  sync.Map     // addresses whose poll is in flight
	heard    atomic.Int64 // when another instance first answered a poll, in Unix nanoseconds; zero if none has
	followed atomic.Bool  // whether another instance has followed this one

	mu           sync.Mutex
	leader       string
	followsSince time.Time                     // when this instance began to follow leader
	leadsSince   time.Time                     // when this instance became the coordinator; zero if it is not
	settled      chan struct{}                 // closed once this instance has settled
	markSettled  func()                        // closes settled
	coordinators map[string]*remoteCoordinator // by address; those that orders were sent to
}

var _ proxy.Preparer = (*Forwarder)(nil)

// LocalState gives access to the state of this instance that it reports to its peers,
// and that decides whether it can be the coordinator.
type LocalState struct {
	Eligible         func() bool // whether this instance can act as coordinator
	ReachesEndpoints func() bool // whether it reaches the endpoints of stages; if not, it is degraded
	Freshness        *freshness.Tracker
	Status           func() watcher.Status // what this instance knows of the store
	History          *history.History      // latest changes of the store, for peers that know an older position
	Notices          *notice.Recorder      // endpoints that said that they leave
	Quarantine       *quarantine.Quarantine
	Limits           *ratelimit.Tracker // receives the part of each limit that this instance shares out
	Versions         *versionset.Tracker
	Brittle          *brittle.Tracker                       // receives how many instances there are
	Relay            func() relays.Relay                    // at which this instance serves requests for others; its address is empty while it does not
	Unreachable      func() []string                        // services that this instance cannot reach
	CheckPaths       func()                                 // has the paths to all services checked
	HintPaths        func(services []string, now time.Time) // receives services that other instances cannot reach
	Relays           *relays.List                           // receives the instances that serve requests for this one
	PeerStatus       *peerstatus.Latest                     // receives what peers know, and the confirmations and changes that the leader reports
	Shutdown         *shutdown.Shutdown
	Scope            tally.Scope // receives how busy this instance is
}

// New returns a forwarder of the instance that peers reach at address self. It
// registers its handlers with the transport, so it must be called before the transport
// serves. Orders wait until the instance has settled, as described at Run.
func New(self string, local *coordinator.Coordinator, e *election.Election, t *transport.Transport, s LocalState, log logr.Logger) *Forwarder {
	f := &Forwarder{
		self: self, local: local, election: e, transport: t, eligible: s.Eligible, reachesEndpoints: s.ReachesEndpoints, storeLag: storelag.New(), freshness: s.Freshness,
		peerStatus: s.PeerStatus, status: s.Status, history: s.History, notices: s.Notices, quarantine: s.Quarantine, limits: s.Limits, versions: s.Versions, origins: newOrigins(), brittle: s.Brittle, relay: s.Relay, unreachable: s.Unreachable, checkPaths: s.CheckPaths, hintPaths: s.HintPaths, relays: s.Relays, shutdown: s.Shutdown, roster: roster.New(), fleet: fleetsize.New(),
		log: log, coordinators: make(map[string]*remoteCoordinator), settled: make(chan struct{}),
	}
	f.shedder = shedder.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	f.workload = workload.New(func() bool { return f.currentLeader() == f.self }, s.Scope, log)
	f.markSettled = sync.OnceFunc(func() { close(f.settled) })
	f.registerHandlers()
	f.handleOrigins()
	return f
}

// Prepare has the coordinator run the stages of a request and choose its engine. An
// order whose coordinator is lost goes to the next leader; after maxCoordinators of
// them this instance carries it out itself, as it does if the request may not go to all data centres. The error is a *fault.Fault or the context's.
func (f *Forwarder) Prepare(ctx context.Context, r proxy.PrepareParams) (proxy.Prepared, error) {
	if err := f.waitSettled(ctx); err != nil {
		return proxy.Prepared{}, err
	}
	if r.Request.Centres != nil { // the coordinator may be in any data centre
		return f.prepareLocally(ctx, r)
	}
	for attempt := range maxCoordinators {
		leader := f.election.Leader(time.Now())
		if leader == f.self {
			break
		}
		if retryAfter, refused := f.shedder.Refuses(); refused {
			return f.prepareWithout(ctx, r, retryAfter)
		}
		p, err := f.prepareRemotely(ctx, f.remoteCoordinator(leader), r, f.orderID(r, attempt))
		if err == nil || !isLost(err) || ctx.Err() != nil {
			return p, err
		}
		f.log.Info("gathering instance lost", "request", r.Request.ID, "leader", leader, "reason", err.Error())
	}
	return f.prepareLocally(ctx, r)
}

// prepareWithout prepares a request without the coordinator, which is busy: one that has stages is refused,
// for any other this instance chooses the engine.
func (f *Forwarder) prepareWithout(ctx context.Context, r proxy.PrepareParams, retryAfter time.Duration) (proxy.Prepared, error) {
	if !r.Request.NeedsStages() {
		return f.prepareLocally(ctx, r)
	}
	refusal := fault.New(code.Overloaded, "stages: the coordinator %s is late", f.currentLeader())
	refusal.RetryAfter = retryAfter
	return proxy.Prepared{}, refusal
}

// waitSettled waits until this instance has settled, but at most for maxSettling. It
// returns the context's error if the context ends first, and nil otherwise.
func (f *Forwarder) waitSettled(ctx context.Context) error {
	select {
	case <-f.settled:
		return nil
	default:
	}
	timer := time.NewTimer(maxSettling)
	defer timer.Stop()
	select {
	case <-f.settled:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// prepareLocally has this instance carry out the order itself.
func (f *Forwarder) prepareLocally(ctx context.Context, r proxy.PrepareParams) (proxy.Prepared, error) {
	o := newOrder(r, f.orderID(r, maxCoordinators))
	o.MayTry = f.mayTry()
	ready, err := f.local.Prepare(ctx, o)
	if err != nil {
		f.local.Ended([]string{o.ID})
		return proxy.Prepared{}, err
	}
	return proxy.Prepared{
		Inputs: ready.Handles, PreferredEndpoint: ready.Engine, Permitted: ready.Permitted, Trial: ready.Trial,
		Started: func() { f.local.Started([]string{o.ID}) },
		Ended:   func() { f.local.Ended([]string{o.ID}) },
	}, nil
}

func newOrder(r proxy.PrepareParams, id string) coordinator.Order {
	req := r.Request
	o := coordinator.Order{
		ID: id, Request: req.ID, Service: req.Service, Version: r.Version, Prompt: req.Prompt, Tried: r.Tried, Rank: req.SchedulingPriority(), Goal: req.Goal, Deadline: req.Deadline, Fingerprint: req.Fingerprint(), Centres: req.Centres,
	}
	if req.NeedsStages() {
		o.Job = job.New(o.ID, req.ID, req.PieceKey, req.Route.Stages, req.Pieces, req.SchedulingPriority(), req.Goal, req.Deadline)
		o.Job.Fingerprint, o.Job.Centres, o.Job.Account = o.Fingerprint, o.Centres, req.Account
	}
	return o
}

// orderID returns the id of the order for one preparation of a request. It contains
// the numbers of the round and of the attempt, so that progress reported for one order
// does not apply to another one of the same request: the end of an order that was given
// up may arrive after the next one, at the same coordinator. The order of a request that another
// instance received names this one, as that instance may have ordered it too.
func (f *Forwarder) orderID(r proxy.PrepareParams, attempt int) string {
	id := fmt.Sprintf("%s.%d.%d", r.Request.ID, r.Round, attempt)
	if r.Request.Relayed {
		id += "@" + f.self
	}
	return id
}
