// Package fleet starts daemons and stand-ins in one process over loopback TCP.
package fleet

// This file defines Fleet and its construction.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/entry/daemon"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/platform"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/standin/service"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	loopback  = "127.0.0.1:0"
	startWait = 5 * time.Second
	pollEvery = 10 * time.Millisecond
)

// Fleet is a set of daemons before stand-ins of all that the table names.
type Fleet struct {
	Platform *platform.Platform
	Ledger   *ledger.Ledger
	Table    *sheet.Sheet // as it is published now, with loopback addresses
	Daemons  []*Member

	log     logr.Logger
	address string // of the platform
	closers []func()
}

// Member is one daemon of a fleet.
type Member struct {
	*daemon.Daemon
	Name  string
	close func()
	done  chan struct{} // closed when Run has returned
}

// New starts stand-ins for the endpoints of a table, publishes it, and starts n daemons.
// The returned function ends everything.
func New(ctx context.Context, table *sheet.Sheet, n int, log logr.Logger) (*Fleet, func(), error) {
	f := &Fleet{Platform: platform.New(), Ledger: ledger.New(), Table: table, log: log}
	err := f.start(ctx, n)
	if err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Fleet) start(ctx context.Context, n int) error {
	var err error
	if f.address, err = f.serve(f.Platform); err != nil {
		return err
	}
	for i := range f.Table.Endpoints {
		if err := f.startEndpoint(&f.Table.Endpoints[i]); err != nil {
			return err
		}
	}
	if err := f.Publish(f.Table); err != nil {
		return err
	}
	for i := range n {
		if err := f.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	f.publishInstances()
	return f.waitReady(ctx)
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("starting stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	f.closers = append(f.closers, func() { s.Close() })
	return l.Addr().String(), nil
}

func (f *Fleet) startEndpoint(e *endpoint.Endpoint) error {
	address, err := f.serve(f.handlerOf(e))
	if err != nil {
		return err
	}
	e.Address = address
	return nil
}

func (f *Fleet) handlerOf(e *endpoint.Endpoint) http.Handler {
	switch e.Kind {
	case endpoint.Engine:
		return engine.New(engine.Options{
			Name: e.Name, Slots: e.Limit, First: 30 * time.Millisecond, Token: 3 * time.Millisecond,
		}, f.Ledger)
	case endpoint.Pool:
		return pool.New(pool.Options{Name: e.Name, Slots: e.Limit, Time: 4 * time.Millisecond}, f.Ledger)
	case endpoint.Service:
		return service.New(service.Options{Name: e.Name, Time: 3 * time.Millisecond}, f.Ledger)
	default:
		panic(fmt.Sprintf("fleet: got endpoint kind %q, want one that a frozen table holds", e.Kind))
	}
}

// Publish puts a table on the platform and makes it the fleet's own.
func (f *Fleet) Publish(s *sheet.Sheet) error {
	m, parts, err := manifest.Pack(s)
	if err != nil {
		return err
	}
	for digest, data := range parts {
		f.Platform.Put(manifest.PartPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f.Platform.Put(manifest.Key, data)
	f.Table = s
	return nil
}

func (f *Fleet) startDaemon(ctx context.Context, i int) error {
	c := config.Default()
	c.Name = fmt.Sprintf("entry-%d", i+1)
	c.Centre = f.Table.Centres[i%len(f.Table.Centres)].Name
	c.Seat = &i
	c.Platform = "http://" + f.address
	c.Caller.Address, c.Peer.Address, c.Operator.Address = loopback, loopback, loopback
	c.Bounds.Quiet = 0
	c.Bounds.Drain = span.Span(300 * time.Millisecond)
	d, closeDaemon, err := daemon.New(c, f.log)
	if err != nil {
		return err
	}
	m := &Member{Daemon: d, Name: c.Name, close: closeDaemon, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(m.done)
		if err := d.Run(ctx); err != nil {
			f.log.Error(err, "daemon ended", "instance", m.Name)
		}
	}()
	f.Daemons = append(f.Daemons, m)
	f.closers = append(f.closers, func() {
		cancel()
		m.close()
		<-m.done
	})
	return nil
}

func (f *Fleet) publishInstances() {
	var list instance.List
	for _, d := range f.Daemons {
		list.Instances = append(list.Instances, instance.Instance{
			Name: d.Name, Address: d.PeerAddress(), State: instance.Live, Entry: true,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("fleet: encoding instances: %v", err))
	}
	f.Platform.Put(instance.Key, data)
}

func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for _, d := range f.Daemons {
		for !isReady(ctx, d.OperatorAddress()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("waiting for %s to be ready: %w", d.Name, ctx.Err())
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
