// Package credential provides TLS configurations whose key files are reread
// while the process runs, and whose two sides prove themselves to one authority.
package credential

// This file defines Credential.

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const rereadEvery = time.Second // files are looked at no more often

// Files names the PEM files of one side.
type Files struct {
	Cert string
	Key  string
	CA   string // authority of the other side; empty to ask for no certificate
}

// Credential holds what the files last held that was whole.
type Credential struct {
	files Files
	log   logr.Logger

	mu      sync.Mutex
	pair    *tls.Certificate
	roots   *x509.CertPool // nil without an authority
	stamps  [3]time.Time
	checked time.Time
}

// New reads the files. Later changes of them are taken over at the next
// handshake; files that cannot be read then leave the last good ones in use.
func New(files Files, log logr.Logger) (*Credential, error) {
	c := &Credential{files: files, log: log}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.stamps, c.checked = c.times(), time.Now()
	return c, nil
}

// Config returns a configuration for both sides of a connection. With an
// authority each side asks the other for a certificate that it signed. Names
// are not checked by it; CheckName does that once the peer has told its name.
func (c *Credential) Config() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
	if c.files.CA != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.InsecureSkipVerify = true // verify does it, against the files of the moment
		config.VerifyConnection = c.verify
	}
	return config
}

// verify checks the other side's certificate against the authority.
func (c *Credential) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("verifying peer: got no certificate, want one")
	}
	_, roots := c.current()
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// CheckName reports an error unless the peer's certificate carries name as a
// DNS name or as its common name.
func CheckName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("checking peer name: got no certificate, want one")
	}
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == name || slices.Contains(leaf.DNSNames, name) {
		return nil
	}
	return fmt.Errorf("checking peer name: got a certificate for %q %q, want %q", leaf.Subject.CommonName, leaf.DNSNames, name)
}

func (c *Credential) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= rereadEvery {
		c.checked = now
		c.reread()
	}
	return c.pair, c.roots
}

func (c *Credential) reread() {
	stamps := c.times()
	if stamps == c.stamps {
		return
	}
	if err := c.load(); err != nil {
		c.log.Error(err, "keys not reread, the last ones stay in use")
		return
	}
	c.stamps = stamps
	c.log.Info("keys reread", "cert", c.files.Cert)
}

func (c *Credential) times() (stamps [3]time.Time) {
	for i, path := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// load reads all files; it changes nothing unless all are whole.
func (c *Credential) load() error {
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return fmt.Errorf("reading keys: %w", err)
	}
	var roots *x509.CertPool
	if c.files.CA != "" {
		data, err := os.ReadFile(c.files.CA)
		if err != nil {
			return fmt.Errorf("reading authority: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return fmt.Errorf("reading authority: got no certificate in %s, want one or more", c.files.CA)
		}
	}
	c.pair, c.roots = &pair, roots
	return nil
}
