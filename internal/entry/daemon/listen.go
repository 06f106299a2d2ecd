package daemon

// This file opens the listeners with their TLS and their bounds.

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
	"github.com/jacinthstile/jacinthstile/internal/secure/secret"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
)

// Bounds of HTTP connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	mostHeader    = 32 << 10 // bytes
	mostOperators = 64       // operator connections
)

// listeners holds what a daemon listens on.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    mostHeader,
	}
}

// listen opens the three listeners. Package transport adds TLS to the connections of the peer listener.
func (d *Daemon) listen(cleanUps *cleanUps) error {
	caller, err := d.open("caller", d.config.Caller, cleanUps)
	if err != nil {
		return err
	}
	d.listeners.caller = netutil.LimitListener(caller, d.config.Bounds.Conns)
	operator, err := d.open("operator", d.config.Operator.Listener, cleanUps)
	if err != nil {
		return err
	}
	d.listeners.operator = netutil.LimitListener(operator, mostOperators)
	d.listeners.peer, err = openPlain("peer", d.config.Peer.Address, cleanUps)
	return err
}

// open opens a listener, with TLS where its settings name keys.
func (d *Daemon) open(name string, l config.Listener, cleanUps *cleanUps) (net.Listener, error) {
	plain, err := openPlain(name, l.Address, cleanUps)
	if err != nil || l.Cert == "" {
		return plain, err
	}
	c, err := d.tlsOf(l)
	if err != nil {
		return nil, fmt.Errorf("opening %s listener: %w", name, err)
	}
	c.NextProtos = []string{"http/1.1"}
	return tls.NewListener(plain, c), nil
}

func openPlain(name, address string, cleanUps *cleanUps) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening %s listener: %w", name, err)
	}
	cleanUps.add(func() { l.Close() })
	return l, nil
}

func (d *Daemon) tlsOf(l config.Listener) (*tls.Config, error) {
	c, err := credential.New(credential.Files{Cert: l.Cert, Key: l.Key, CA: l.CA}, d.log)
	if err != nil {
		return nil, err
	}
	return c.Config(), nil
}

// peerTLS returns the settings of the transport, or nil for plain TCP.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.config.Peer.Cert == "" {
		return nil, nil
	}
	if d.config.Peer.CA == "" {
		return nil, errors.New("reading peer keys: got no ca file, want one by which peers prove themselves")
	}
	c, err := d.tlsOf(d.config.Peer)
	if err != nil {
		return nil, fmt.Errorf("reading peer keys: %w", err)
	}
	return c, nil
}

// accessOf returns the operators' token, or nil where the settings ask for none.
func accessOf(o config.Operator) (*secret.Secret, error) {
	if o.Token == "" {
		return nil, nil
	}
	s, err := secret.Read(o.Token)
	if err != nil {
		return nil, fmt.Errorf("reading operators' token: %w", err)
	}
	return &s, nil
}

// CallerAddress returns the address on which callers are served.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// PeerAddress returns the address on which peers are served.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }
