// Package member provides the daemons of a test fleet. Its own implementation
// runs a daemon within the test process.
package member

// This file defines Member and its construction.

import (
	"context"
	"errors"
	"sync"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/entry/daemon"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
)

// Member is one daemon of a test fleet.
type Member interface {
	// Name returns the instance's name.
	Name() string
	// Centre returns the data centre that the daemon runs in.
	Centre() string
	// CallerAddress, PeerAddress and OperatorAddress return the host:port addresses on which the
	// daemon serves callers, peers and operators.
	CallerAddress() string
	PeerAddress() string
	OperatorAddress() string
	// Stop lets requests in flight finish and then ends the daemon.
	Stop(ctx context.Context) error
	// Kill ends the daemon at once. Its connections are closed.
	Kill()
	// Pause suspends the daemon, with its connections open, until the returned
	// function is called.
	Pause() (resume func(), err error)
}

// Local is a daemon that runs within this process.
type Local struct {
	name, centre string
	daemon       *daemon.Daemon
	kill         func()
}

var _ Member = (*Local)(nil)

// ErrNoPause is returned by Pause of members that cannot be paused because they
// share the test's process.
var ErrNoPause = errors.New("pausing daemon: it shares the process")

// New starts a daemon with the given settings. It runs until it is stopped,
// killed or ctx is done.
func New(ctx context.Context, c config.Config, log logr.Logger) (*Local, error) {
	d, closeDaemon, err := daemon.New(c, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			log.Error(err, "daemon ended", "instance", c.Name)
		}
	}()
	kill := sync.OnceFunc(func() {
		cancel()
		closeDaemon()
		<-done
	})
	return &Local{name: c.Name, centre: c.Centre, daemon: d, kill: kill}, nil
}

// Name returns the instance's name.
func (m *Local) Name() string { return m.name }

// Centre returns the data centre that the daemon runs in.
func (m *Local) Centre() string { return m.centre }

// CallerAddress returns the address on which callers are served.
func (m *Local) CallerAddress() string { return m.daemon.CallerAddress() }

// PeerAddress returns the address on which peers are served.
func (m *Local) PeerAddress() string { return m.daemon.PeerAddress() }

// OperatorAddress returns the address on which operators are served.
func (m *Local) OperatorAddress() string { return m.daemon.OperatorAddress() }

// Stop lets requests in flight finish and ends the daemon.
func (m *Local) Stop(ctx context.Context) error {
	err := m.daemon.Stop(ctx)
	m.kill()
	return err
}

// Kill closes listeners and connections at once.
func (m *Local) Kill() { m.kill() }

// ClosePeerSessions closes all sessions with peers, as a network failure would.
func (m *Local) ClosePeerSessions() { m.daemon.ClosePeerSessions() }

// Pause always returns ErrNoPause.
func (m *Local) Pause() (func(), error) { return nil, ErrNoPause }
