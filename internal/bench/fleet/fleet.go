// Package fleet starts daemons and stand-ins in one process over loopback TCP.
package fleet

// This file defines Fleet, its construction and its end.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/bench/gate"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/platform"
	"github.com/jacinthstile/jacinthstile/internal/standin/service"
	"github.com/jacinthstile/jacinthstile/internal/standin/store"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const (
	nameFormat = "entry-%d" // of daemons, from 1
	loopback   = "127.0.0.1:0"
	startWait  = 20 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// Start starts one daemon with the given settings.
type Start func(ctx context.Context, c config.Config, log logr.Logger) (member.Member, error)

// Local starts a daemon within this process.
func Local(ctx context.Context, c config.Config, log logr.Logger) (member.Member, error) {
	return member.New(ctx, c, log)
}

// Options chooses the size and the timing of a fleet.
type Options struct {
	Daemons int
	Timing  Timing
	Drain   time.Duration    // how long a stopping daemon waits for the balancer
	Start   Start            // nil for Local
	Trouble *trouble.Trouble // shared by all stand-ins; nil for one each
	Gated   bool             // peers reach one another through gates that can be cut
}

// Fleet is a set of daemons before stand-ins of all that the table names.
type Fleet struct {
	Platform *platform.Platform
	Ledger   *ledger.Ledger
	Table    *fleettable.Table // as it is published now, with loopback addresses
	Standins map[string]*Standin

	options  Options
	ctx      context.Context
	log      logr.Logger
	weights  *store.Store
	memories map[string]*service.Memory

	mu      sync.Mutex
	members []member.Member // by their number; replaced when one starts again
	gates   map[route]*gate.Gate
	closers []func()
}

// route is the way from one daemon to another, by their names.
type route struct{ from, to string }

// New starts stand-ins for the endpoints of a table, publishes it, and starts
// daemons. The returned function ends everything. The table is copied.
func New(ctx context.Context, table *fleettable.Table, o Options, log logr.Logger) (*Fleet, func(), error) {
	own, err := clone(table)
	if err != nil {
		return nil, nil, err
	}
	if o.Start == nil {
		o.Start = Local
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Platform: platform.New(), Ledger: ledger.New(), Table: own, Standins: make(map[string]*Standin),
		options: o, ctx: ctx, log: log, weights: store.New(max(1, own.Policy.StoreBandwidth)),
		memories: make(map[string]*service.Memory), gates: make(map[route]*gate.Gate),
		closers: []func(){cancel},
	}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

// clone returns a copy that may be changed and frozen again.
func clone(s *fleettable.Table) (*fleettable.Table, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("copying table: %w", err)
	}
	return fleettable.Parse(data)
}

func (f *Fleet) start(ctx context.Context) error {
	for i := range f.Table.Endpoints {
		if err := f.startEndpoint(&f.Table.Endpoints[i]); err != nil {
			return err
		}
	}
	if err := f.publish(f.Table); err != nil {
		return err
	}
	for i := range f.options.Daemons {
		if _, err := f.startDaemon(i); err != nil {
			return err
		}
	}
	if err := f.ListInstances(); err != nil {
		return err
	}
	return f.WaitReady(ctx, f.Members()...)
}

// settings returns the settings of daemon i, whose platform view has an address of its own.
func (f *Fleet) settings(i int) (config.Config, error) {
	c := config.Default()
	c.Name = fmt.Sprintf(nameFormat, i+1)
	c.Centre = f.centreOf(i)
	c.Seat = &i
	address, err := f.serve(f.Platform.View(c.Name))
	if err != nil {
		return c, err
	}
	c.Platform = "http://" + address
	c.Caller.Address, c.Peer.Address, c.Operator.Address = loopback, loopback, loopback
	if i >= len(f.Members()) {
		c.Bounds.QuietPeriod = 0 // no process had this seat before
	}
	c.Bounds.DrainTime = span.Span(f.options.Drain)
	return c, nil
}

func (f *Fleet) centreOf(i int) string { return f.Table.Centres[i%len(f.Table.Centres)].Name }

func (f *Fleet) startDaemon(i int) (member.Member, error) {
	c, err := f.settings(i)
	if err != nil {
		return nil, err
	}
	m, err := f.options.Start(f.ctx, c, f.log)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.members) {
		f.members[i] = m
	} else {
		f.members = append(f.members, m)
	}
	f.closers = append(f.closers, m.Kill)
	return m, nil
}

// StartAgain starts daemon i after its end, with nothing kept, and lists it.
func (f *Fleet) StartAgain(i int) error {
	if _, err := f.startDaemon(i); err != nil {
		return err
	}
	return f.ListInstances()
}

// Restart starts daemon i again and returns when it is ready.
func (f *Fleet) Restart(ctx context.Context, i int) (member.Member, error) {
	if err := f.StartAgain(i); err != nil {
		return nil, err
	}
	m := f.Members()[i]
	return m, f.WaitReady(ctx, m)
}

// Members returns the daemons as they are now.
func (f *Fleet) Members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.Member(nil), f.members...)
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("starting stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ErrorLog: discard()}
	go s.Serve(l)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, func() { s.Close() })
	return l.Addr().String(), nil
}

func discard() *log.Logger { return log.New(io.Discard, "", 0) }

func (f *Fleet) close() {
	f.mu.Lock()
	closers := f.closers
	f.closers = nil
	f.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}
