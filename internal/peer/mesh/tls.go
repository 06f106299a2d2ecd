package mesh

// This file defines TLS and how a peer proves its name.

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
)

// TLS holds the settings of both sides of a session. Each must ask the other
// side for a certificate and verify its chain; the mesh checks the name in it
// against the name in the hello. See package keypair.
type TLS struct {
	Server *tls.Config
	Client *tls.Config
}

// dialed returns the connection of the side that dialed.
func (t *TLS) dialed(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return tls.Client(conn, t.Client)
}

// accepted returns the connection of the side that accepted.
func (t *TLS) accepted(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return tls.Server(conn, t.Server)
}

// checkName reports an error unless the peer's certificate carries name as a
// DNS name or as its common name. A connection without TLS proves nothing.
func checkName(conn net.Conn, name string) error {
	c, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.New("checking peer name: got no certificate, want one")
	}
	leaf := certs[0]
	if leaf.Subject.CommonName == name || slices.Contains(leaf.DNSNames, name) {
		return nil
	}
	return fmt.Errorf("checking peer name: got a certificate for %q %q, want %q", leaf.Subject.CommonName, leaf.DNSNames, name)
}
