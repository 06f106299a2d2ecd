// Package daemon assembles an entry instance from its parts and runs it.
package daemon

// This file defines Daemon, its construction and its life.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/entry/caller"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/flow/relay"
	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/limit/keeper"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/peer/roster"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/rule"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/table/feed"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/ticket/desk"
)

const (
	headerTimeout = 5 * time.Second
	mostHeader    = 32 << 10 // bytes
)

// Daemon is one entry instance.
type Daemon struct {
	config   config.Config
	log      logr.Logger
	tables   *holder.Holder
	feed     *feed.Feed
	roster   *roster.Roster
	members  *membership.Membership
	mesh     *mesh.Mesh
	limits   *keeper.Keeper
	relay    *relay.Relay
	desk     *desk.Desk
	callers  *http.Server
	operator *http.Server
	flights  atomic.Int64
	stopping atomic.Bool

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
}

// New builds a daemon and opens its listeners. The returned function closes
// everything at once; Stop before it lets requests in flight finish.
func New(c config.Config, log logr.Logger) (*Daemon, func(), error) {
	d := &Daemon{config: c, log: log.WithValues("instance", c.Name), tables: holder.New()}
	self := identity.Identity{
		Name: c.Name, Centre: c.Centre, Incarnation: uint64(time.Now().UnixNano()), Seat: seatOf(c),
	}
	source, closeSource := reader.New(c.Platform)
	endpoints, closeEndpoints := client.New()
	var closeMesh func()
	d.mesh, closeMesh = mesh.New(self, nil, d.log)
	d.roster = roster.New(source, d.log)
	d.members = membership.New(c.Name)
	d.mesh.Observe(d.members)
	d.roster.Watch(d.members.Update)
	d.feed = feed.New(source, d.mesh, d.members, d.tables, c.Bounds.Start.Duration(), d.log)

	stats := board.New()
	pick := picker.New(c.Centre, rule.Predicted{}, stats, self.Incarnation)
	if c.Seat != nil {
		pick.Seat(*c.Seat, 0)
	}
	dispatch := dispatcher.New(d.tables, pick, stats, c.Bounds.Queue, d.log, tally.NoopScope)
	budget := retry.New()
	d.limits = keeper.New(self.Seat)
	d.relay = relay.New(d.tables, dispatch, endpoints, budget, d.log, tally.NoopScope)
	d.desk = d.newDesk(self)
	d.callers = &http.Server{
		Handler: d.counted(caller.New(
			d.tables,
			runner.New(d.tables, dispatch, endpoints, budget, d.log, tally.NoopScope),
			d.relay,
			d.limits,
			d.desk,
			c.Bounds.Body,
			d.log,
		)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    mostHeader,
	}
	d.operator = &http.Server{Handler: operator.New(d.status), ReadHeaderTimeout: headerTimeout}
	cleanUp := func() {
		d.callers.Close()
		d.operator.Close()
		if d.peerListener != nil {
			d.peerListener.Close()
		}
		closeMesh()
		closeEndpoints()
		closeSource()
	}
	if err := d.listen(); err != nil {
		cleanUp()
		return nil, nil, err
	}
	return d, cleanUp, nil
}

func seatOf(c config.Config) int {
	if c.Seat == nil {
		return -1
	}
	return *c.Seat
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"caller", d.config.Caller.Address, &d.callerListener},
		{"peer", d.config.Peer.Address, &d.peerListener},
		{"operator", d.config.Operator.Address, &d.operatorListener},
	} {
		open, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("opening %s listener: %w", l.name, err)
		}
		*l.into = open
	}
	return nil
}

// CallerAddress returns the address on which callers are served.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// PeerAddress returns the address on which peers are served.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

// Run serves until ctx ends or a listener fails.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.roster.Run(ctx)
	go d.feed.Run(ctx)
	failed := make(chan error, 3)
	go func() { failed <- d.callers.Serve(d.callerListener) }()
	go func() { failed <- d.operator.Serve(d.operatorListener) }()
	go func() { failed <- d.mesh.Serve(ctx, d.peerListener) }()
	d.log.Info("serving", "callers", d.CallerAddress(), "peers", d.PeerAddress(), "operators", d.OperatorAddress())
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-ctx.Done():
		return nil
	}
}

// CutPeers closes all peer sessions, as a failing network would.
func (d *Daemon) CutPeers() { d.mesh.Cut() }

func (d *Daemon) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.flights.Add(1)
		defer d.flights.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) status() operator.Status {
	epoch, version := d.tables.Pair()
	platform, peers := d.feed.Heard()
	return operator.Status{
		Name:     d.config.Name,
		Centre:   d.config.Centre,
		Ready:    d.feed.Ready() && !d.stopping.Load(),
		Epoch:    epoch,
		Version:  version,
		Refusal:  d.feed.Refusal(),
		Conflict: d.feed.Conflict(),
		Platform: ageOf(platform),
		Peers:    ageOf(peers),
		Flights:  d.flights.Load(),
	}
}

// ageOf returns the seconds since t, or -1 for the zero time.
func ageOf(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Seconds()
}
