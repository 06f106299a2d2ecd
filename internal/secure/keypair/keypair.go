// Package keypair provides TLS settings whose keys are read again from their
// files while the process runs.
package keypair

// This file defines Keypair.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheck is the least time between two looks at the files.
const recheck = time.Second

// Keypair is a certificate, its key and the authorities trusted for the other
// side, all in PEM files. A changed file is in use within seconds; one that
// cannot be read leaves the last good keys in use.
type Keypair struct {
	cert, key, ca string
	report        func(error) // told of files that cannot be read

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	pair    *tls.Certificate
	roots   *x509.CertPool
}

// New reads the files. The ca file may be empty when only the own side shows a
// certificate. Report is called with each later failure to read a changed file.
func New(cert, key, ca string, report func(error)) (*Keypair, error) {
	k := &Keypair{cert: cert, key: key, ca: ca, report: report}
	k.stamps = k.stat()
	if err := k.read(); err != nil {
		return nil, err
	}
	k.checked = time.Now()
	return k, nil
}

// Server returns settings for a listener. With a ca file, the other side must
// show a certificate of that authority.
func (k *Keypair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := k.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if roots != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = roots
			}
			return c, nil
		},
	}
}

// Client returns settings for dialling. The other side is verified against the
// ca file by its chain alone: instances are known by IP number and replaced
// often, so their certificates need not name an address.
func (k *Keypair) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
		InsecureSkipVerify: true, // replaced by VerifyConnection, which checks the chain
		VerifyConnection:   k.verify,
	}
}

func (k *Keypair) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("verifying peer: got no certificate, want one")
	}
	_, roots := k.current()
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}

// current returns the keys in use, after a look at the files where one is due.
func (k *Keypair) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checked) < recheck {
		return k.pair, k.roots
	}
	k.checked = now
	stamps := k.stat()
	if stamps == k.stamps {
		return k.pair, k.roots
	}
	if err := k.read(); err != nil {
		k.report(err)
		return k.pair, k.roots
	}
	k.stamps = stamps
	return k.pair, k.roots
}

// stat returns the times of the files' last changes, zero for those that cannot be seen.
func (k *Keypair) stat() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{k.cert, k.key, k.ca} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (k *Keypair) read() error {
	pair, err := tls.LoadX509KeyPair(k.cert, k.key)
	if err != nil {
		return fmt.Errorf("reading key pair %s: %w", k.cert, err)
	}
	var roots *x509.CertPool
	if k.ca != "" {
		data, err := os.ReadFile(k.ca)
		if err != nil {
			return fmt.Errorf("reading authorities: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return fmt.Errorf("reading authorities %s: got no certificate, want one or more", k.ca)
		}
	}
	k.pair, k.roots = &pair, roots
	return nil
}
