// Package credential provides TLS configurations for mutual authentication. The
// certificate, key and authority are read from files, and changed files are
// reloaded while the process runs, without a restart.
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

const recheckInterval = time.Second // minimum time between two checks of the files for changes

// Files names the PEM files of one side.
type Files struct {
	Cert string
	Key  string
	CA   string // certificates of the authority that signs the other side's certificate; empty to require none
}

// Credential holds the contents of the files as of the last time that all of
// them were valid. It is safe for concurrent use.
type Credential struct {
	files Files
	log   logr.Logger

	mu        sync.Mutex
	pair      *tls.Certificate
	roots     *x509.CertPool // nil if Files.CA is empty
	modTimes  [3]time.Time   // of the files that were last loaded
	lastCheck time.Time
}

// New reads the files and returns an error if they are not valid. Changes of the
// files take effect at the next handshake, checked at most once a second. If the
// changed files are not valid, the previous contents stay in use.
func New(files Files, log logr.Logger) (*Credential, error) {
	c := &Credential{files: files, log: log}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.modTimes, c.lastCheck = c.readModTimes(), time.Now()
	return c, nil
}

// Config returns a configuration for both the client and the server side of a
// connection. If Files.CA is set, each side requires a certificate from the
// other that the authority signed. The configuration does not check names; the
// caller does that with CheckName once the peer has sent its name.
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
		config.InsecureSkipVerify = true // verify checks the chain instead, against the current CA file
		config.VerifyConnection = c.verify
	}
	return config
}

// verify checks that the other side's certificate was signed by the authority.
func (c *Credential) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("verifying peer: got no certificate, want one")
	}
	_, roots := c.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
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

// current returns the certificate and the authority, reloaded first if the
// files changed.
func (c *Credential) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= recheckInterval {
		c.lastCheck = now
		c.reloadIfChanged()
	}
	return c.pair, c.roots
}

func (c *Credential) reloadIfChanged() {
	modTimes := c.readModTimes()
	if modTimes == c.modTimes {
		return
	}
	if err := c.load(); err != nil {
		c.log.Error(err, "reloading TLS files failed; the previous certificate and authority stay in use")
		return
	}
	c.modTimes = modTimes
	c.log.Info("TLS files reloaded", "cert", c.files.Cert)
}

// readModTimes returns the modification times of the files, zero for a file
// that cannot be read.
func (c *Credential) readModTimes() (modTimes [3]time.Time) {
	for i, path := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads all files. It changes nothing unless all of them are valid.
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
