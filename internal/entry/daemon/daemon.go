// Package daemon assembles an entry instance from its parts and runs it.
package daemon

// This file defines Daemon, its construction and its life.

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
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
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/syncer"
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
	"github.com/jacinthstile/jacinthstile/internal/watch/exporter"
	"github.com/jacinthstile/jacinthstile/internal/watch/meter"
)

// Daemon is one entry instance.
type Daemon struct {
	config     config.Config
	log        logr.Logger
	tables     *holder.Holder
	source     *reader.Reader
	syncer     *syncer.Syncer
	instances  *instancelist.Watcher
	poller     *poller.Poller
	members    *membership.Membership
	reconciler *reconciler.Reconciler
	transport  *transport.Transport
	board      *endpointstats.Tracker
	limits     *limiter.Limiter
	sender     *servicecall.Sender
	desk       *issuer.Issuer
	callers    *http.Server
	operator   *http.Server
	meter      *meter.Meter
	flights    atomic.Int64
	arrived    atomic.Int64 // when the last request of a caller came, in nanoseconds of the Unix epoch
	stopping   atomic.Bool
	stopped    chan struct{} // closed when Stop returns

	listeners listeners
}

// New builds a daemon and opens its listeners. The returned function closes
// everything at once; Stop before it lets requests in flight finish.
func New(c config.Config, log logr.Logger) (*Daemon, func(), error) {
	d := &Daemon{config: c, log: log.WithValues("instance", c.Name), tables: holder.New(), stopped: make(chan struct{})}
	var cleanUps cleanUps
	if err := d.build(&cleanUps); err != nil {
		cleanUps.run()
		return nil, nil, err
	}
	return d, cleanUps.run, nil
}

// build makes the parts in the order in which they need each other. It adds a
// clean-up for each that needs one.
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
	var closeSource func()
	d.source, closeSource = reader.New(c.Platform)
	cleanUps.add(closeSource)
	endpoints, closeEndpoints := client.New()
	cleanUps.add(closeEndpoints)
	if err := d.buildPeers(self, cleanUps); err != nil {
		return err
	}
	stats := endpointstats.New()
	d.board = stats
	pick := picker.New(c.Centre, strategy.Predicted{}, stats, self.Incarnation)
	pick.SetSeat(self.Seat, 0)
	dispatch := dispatcher.New(d.tables, pick, stats, c.Bounds.Queue, d.log, scope)
	budget := retry.New()
	d.poller = poller.New(d.tables, stats, endpoints, d.log)
	d.limits = d.newKeeper(self)
	d.sender = servicecall.New(d.tables, dispatch, endpoints, budget, d.log, scope)
	d.desk = d.newDesk(self)
	run := runner.New(d.tables, dispatch, endpoints, budget, d.log, scope)
	d.callers = newServer(d.counted(caller.New(d.tables, run, d.sender, d.limits, d.desk, c.Bounds.Body, d.meter, d.log)))
	cleanUps.add(func() { d.callers.Close() })
	access, err := accessOf(c.Operator)
	if err != nil {
		return err
	}
	operators := operator.New(d.status, metrics.Handler(), access)
	operators.Endpoints(d.endpoints)
	d.operator = newServer(operators)
	cleanUps.add(func() { d.operator.Close() })
	return d.listen(cleanUps)
}

// buildPeers makes what follows the platform and the other daemons.
func (d *Daemon) buildPeers(self identity.Identity, cleanUps *cleanUps) error {
	config, err := d.peerTLS()
	if err != nil {
		return err
	}
	var closeTransport func()
	d.transport, closeTransport = transport.New(self, config, d.log)
	cleanUps.add(closeTransport)
	d.instances = instancelist.New(d.source, d.log)
	d.members = membership.New(self.Name)
	d.transport.SetObserver(d.members)
	d.instances.OnChange(d.members.Update)
	d.syncer = syncer.New(d.source, d.transport, d.members, d.tables, d.config.Bounds.Start.Duration(), d.log)
	engines, closeEngines := engineclient.New(nil)
	cleanUps.add(closeEngines)
	d.reconciler = reconciler.New(d.tables, self.Seat, d.instances.LeavingEndpoints, engines, d.log)
	return nil
}

func seatOf(c config.Config) int {
	if c.Seat == nil {
		return -1
	}
	return *c.Seat
}

// Run serves until ctx ends or a listener fails.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.instances.Run(ctx)
	go d.syncer.Run(ctx)
	go d.poller.Run(ctx)
	go d.limits.Run(ctx)
	go d.followLeaving(ctx)
	go d.reconciler.Run(ctx)
	go d.gauge(ctx)
	failed := make(chan error, 3)
	go func() { failed <- d.callers.Serve(d.listeners.caller) }()
	go func() { failed <- d.operator.Serve(d.listeners.operator) }()
	go func() { failed <- d.transport.Serve(ctx, d.listeners.peer) }()
	d.log.Info("serving", "callers", d.CallerAddress(), "peers", d.PeerAddress(), "operators", d.OperatorAddress())
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		d.awaitStop(ctx)
		return nil
	case <-ctx.Done():
		return nil
	}
}

// CutPeers closes all peer sessions, as a failing network would.
func (d *Daemon) CutPeers() { d.transport.CloseSessions() }
