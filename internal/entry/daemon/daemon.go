// Package daemon assembles an entry instance from its components and runs it: the
// servers for callers, operators and peers, the reader of the platform's
// configuration, routing, limits and tickets. An entry instance takes requests
// from callers and sends them to endpoints.
package daemon

// This file defines Daemon and its construction.

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/base/guard"
	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/poller"
	"github.com/jacinthstile/jacinthstile/internal/entry/caller"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/limit/limiter"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/instancelist"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/placement/engineclient"
	"github.com/jacinthstile/jacinthstile/internal/placement/reconciler"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/syncer"
	"github.com/jacinthstile/jacinthstile/internal/telemetry/exporter"
	"github.com/jacinthstile/jacinthstile/internal/telemetry/meter"
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
)

// Daemon is an entry instance. Stop may be called while Run runs.
type Daemon struct {
	config         config.Config
	log            logr.Logger
	tables         *holder.Holder
	platform       *configclient.Client
	syncer         *syncer.Syncer
	instances      *instancelist.Watcher
	poller         *poller.Poller
	members        *membership.Membership
	reconciler     *reconciler.Reconciler
	transport      *transport.Transport
	stats          *endpointstats.Tracker
	limits         *limiter.Limiter
	sender         *servicecall.Sender // calls plain services
	tickets        *issuer.Issuer
	callerServer   *webserver.Server
	operatorServer *webserver.Server
	meter          *meter.Meter
	inFlight       atomic.Int64 // callers' requests in flight
	lastRequest    atomic.Int64 // arrival of the last request of a caller, Unix time in nanoseconds
	stopping       atomic.Bool
	killTime       atomic.Int64  // end of the grace period in Unix nanoseconds; zero while the daemon is not stopping
	stopped        chan struct{} // closed when Stop returns

	listeners listeners
}

// New builds a daemon and opens its listeners. The returned function closes
// everything immediately; call Stop before it to let requests in flight finish.
func New(c config.Config, log logr.Logger) (*Daemon, func(), error) {
	d := &Daemon{config: c, log: log.WithValues("instance", c.Name), tables: holder.New(), stopped: make(chan struct{})}
	var cleanUps cleanUps
	if err := d.build(&cleanUps); err != nil {
		cleanUps.run()
		return nil, nil, err
	}
	return d, cleanUps.run, nil
}

// build constructs the components in the order of their dependencies and adds the
// clean-up functions of those that have one.
func (d *Daemon) build(cleanUps *cleanUps) error {
	c := d.config
	self := identity.Identity{
		Name: c.Name, Centre: c.Centre, Incarnation: uint64(time.Now().UnixNano()), Seat: seatOf(c),
	}
	metrics, closeMetrics, err := exporter.New(d.log)
	if err != nil {
		return err
	}
	cleanUps.add(closeMetrics)
	scope := metrics.Scope()
	d.meter = meter.New(scope)
	var closePlatform func()
	d.platform, closePlatform = configclient.New(c.Platform)
	cleanUps.add(closePlatform)
	endpoints, closeEndpoints := client.New()
	cleanUps.add(closeEndpoints)
	if err := d.buildPeers(self, cleanUps); err != nil {
		return err
	}
	stats := endpointstats.New()
	d.stats = stats
	endpointPicker := picker.New(c.Centre, strategy.Predicted{}, stats, self.Incarnation)
	endpointPicker.SetSeat(self.Seat, 0)
	dispatch := dispatcher.New(d.tables, endpointPicker, stats, c.Bounds.MaxQueued, d.log, scope)
	budget := retry.New()
	d.poller = poller.New(d.tables, stats, endpoints, d.log)
	d.limits = d.newLimiter(self)
	d.sender = servicecall.New(d.tables, dispatch, endpoints, budget, d.log, scope)
	d.tickets = d.newIssuer(self)
	run := runner.New(d.tables, dispatch, endpoints, budget, d.log, scope)
	g := guard.New(max(c.Bounds.MaxRequestBytes, minBodies*c.Bounds.MaxBodyBytes), collectMore(), d.log, scope)
	callers, closeCallers := webserver.New(newServer(d.countInFlight(caller.New(d.tables, run, d.sender, d.limits, d.tickets, c.Bounds.MaxBodyBytes, d.answerEnd, d.meter, d.log))), g, maxCallerConns(c.Bounds.MaxConns))
	d.callerServer = callers
	cleanUps.add(closeCallers)
	access, err := accessOf(c.Operator)
	if err != nil {
		return err
	}
	operators := operator.New(d.status, metrics.Handler(), access)
	operators.ServeEndpoints(d.endpoints)
	var closeOperators func()
	d.operatorServer, closeOperators = webserver.New(newServer(operators), g, maxOperatorConns)
	cleanUps.add(closeOperators)
	return d.listen(cleanUps)
}

// buildPeers constructs the components that follow the platform's configuration
// and that communicate with other instances or with engines.
func (d *Daemon) buildPeers(self identity.Identity, cleanUps *cleanUps) error {
	config, err := d.peerTLS()
	if err != nil {
		return err
	}
	var closeTransport func()
	d.transport, closeTransport = transport.New(self, config, d.log)
	cleanUps.add(closeTransport)
	d.instances = instancelist.New(d.platform, d.log)
	d.members = membership.New(self.Name)
	d.transport.SetObserver(d.members)
	d.instances.OnChange(d.members.Update)
	d.syncer = syncer.New(d.platform, d.transport, d.members, d.tables, d.config.Bounds.StartTimeout.Duration(), d.log)
	engines, closeEngines := engineclient.New(nil)
	cleanUps.add(closeEngines)
	d.reconciler = reconciler.New(d.tables, self.Seat, d.instances.LeavingEndpoints, engines, d.log)
	return nil
}

// seatOf returns the seat of the settings, or -1 if they have none.
func seatOf(c config.Config) int {
	if c.Seat == nil {
		return -1
	}
	return *c.Seat
}

// Run serves until ctx ends or a listener fails. After a graceful stop it returns
// nil once Stop has ended.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go contain.Loop(ctx, d.log, "list of instances", d.instances.Run)
	go contain.Loop(ctx, d.log, "table synchronisation", d.syncer.Run)
	go contain.Loop(ctx, d.log, "polls of endpoints", d.poller.Run)
	go contain.Loop(ctx, d.log, "limits", d.limits.Run)
	go contain.Loop(ctx, d.log, "leaving endpoints", d.followLeaving)
	go contain.Loop(ctx, d.log, "placement", d.reconciler.Run)
	go contain.Loop(ctx, d.log, "gauges", d.publishGauges)
	failed := make(chan error, 3)
	go func() { failed <- d.callerServer.Serve(d.listeners.caller) }()
	go func() { failed <- d.operatorServer.Serve(d.listeners.operator) }()
	go func() { failed <- d.transport.Serve(ctx, d.listeners.peer) }()
	d.log.Info("serving", "callers", d.CallerAddress(), "peers", d.PeerAddress(), "operators", d.OperatorAddress())
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		d.waitForStop(ctx)
		return nil
	case <-ctx.Done():
		return nil
	}
}

// ClosePeerSessions closes all sessions with peers, as a network failure would. It is used
// by tests.
func (d *Daemon) ClosePeerSessions() { d.transport.CloseSessions() }
