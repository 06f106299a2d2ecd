package daemon

// This file opens the listeners with their TLS settings and connection limits.

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
	"github.com/jacinthstile/jacinthstile/internal/secure/secret"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
)

// Limits of HTTP connections.
const (
	headerTimeout    = 5 * time.Second
	idleTimeout      = 90 * time.Second
	maxHeaderBytes   = 32 << 10
	maxOperatorConns = 64
	minBodies        = 4 // bodies of the greatest size for which there is memory at least
	// lowGrowth is the growth of the heap in percent between two garbage collections while requests hold much memory.
	lowGrowth = 20
)

// listeners holds the open listeners of a daemon.
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
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// listen opens the three listeners. The peer listener is a plain one, since the
// transport handles TLS on it.
func (d *Daemon) listen(cleanUps *cleanUps) error {
	caller, err := d.open("caller", d.config.Caller, d.callerServer.Listen, cleanUps)
	if err != nil {
		return err
	}
	d.listeners.caller = caller
	d.listeners.operator, err = d.open("operator", d.config.Operator.Listener, d.operatorServer.Listen, cleanUps)
	if err != nil {
		return err
	}
	d.listeners.peer, err = openPlain("peer", d.config.Peer.Address, cleanUps)
	return err
}

// open opens a listener, with TLS if its settings name a certificate. watch wraps the listener below that.
func (d *Daemon) open(name string, l config.Listener, watch func(net.Listener) net.Listener, cleanUps *cleanUps) (net.Listener, error) {
	plain, err := openPlain(name, l.Address, cleanUps)
	if err != nil {
		return nil, err
	}
	plain = watch(plain)
	if l.Cert == "" {
		return plain, nil
	}
	c, err := d.tlsOf(l)
	if err != nil {
		return nil, fmt.Errorf("opening %s listener: %w", name, err)
	}
	c.NextProtos = []string{"http/1.1"}
	return tlsListener{tls.NewListener(plain, c)}, nil
}

// tlsListener is a listener whose connections net/http does not know as encrypted, so that it answers no plain HTTP on them.
type tlsListener struct{ net.Listener }

// Accept implements net.Listener.
func (l tlsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tlsConn{c.(*tls.Conn)}, nil
}

type tlsConn struct{ *tls.Conn }

func openPlain(name, address string, cleanUps *cleanUps) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening %s listener: %w", name, err)
	}
	cleanUps.add(func() { l.Close() })
	return l, nil
}

// tlsOf returns a TLS configuration with the certificate, key and CA files of l.
func (d *Daemon) tlsOf(l config.Listener) (*tls.Config, error) {
	c, err := credential.New(credential.Files{Cert: l.Cert, Key: l.Key, CA: l.CA}, d.log)
	if err != nil {
		return nil, err
	}
	return c.Config(), nil
}

// peerTLS returns the TLS configuration of the transport, or nil for plain TCP.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.config.Peer.Cert == "" {
		return nil, nil
	}
	if d.config.Peer.CA == "" {
		return nil, errors.New("reading peer TLS files: got no ca file, want the authority of the peers' certificates")
	}
	c, err := d.tlsOf(d.config.Peer)
	if err != nil {
		return nil, fmt.Errorf("reading peer TLS files: %w", err)
	}
	return c, nil
}

// accessOf returns the operators' bearer token, or nil if the settings name no
// token file.
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

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// PeerAddress returns the address of the listener for peers.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// maxCallerConns returns the number of connections that callers may have: that of the settings, but at most half of the
// descriptors that the process may open. The others are for endpoints, peers and the platform.
func maxCallerConns(wanted int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return wanted
	}
	return int(min(uint64(wanted), limit.Cur/2))
}

// collectMore returns a function that has garbage collected more often while requests hold much memory.
func collectMore() func(high bool) {
	usual := debug.SetGCPercent(lowGrowth)
	debug.SetGCPercent(usual)
	return func(high bool) {
		growth := usual
		if high {
			growth = min(growth, lowGrowth)
		}
		debug.SetGCPercent(growth)
	}
}
