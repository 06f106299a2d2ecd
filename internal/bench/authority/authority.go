// Package authority issues certificates for tests and for trials on loopback.
package authority

// This file defines Authority.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	lifetime = 24 * time.Hour
	fileMode = 0o600
)

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files names what Issue wrote, all PEM.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("making authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("making authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("making authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a new key pair for an instance on loopback, and the authority's
// own certificate, into dir.
func (a *Authority) Issue(dir, name string, serial int64) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("issuing certificate: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(lifetime),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, fmt.Errorf("issuing certificate: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, fmt.Errorf("issuing certificate: %w", err)
	}
	f := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	for _, part := range []struct {
		path, kind string
		data       []byte
	}{
		{f.Cert, "CERTIFICATE", der},
		{f.Key, "PRIVATE KEY", raw},
		{f.CA, "CERTIFICATE", a.cert.Raw},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: part.kind, Bytes: part.data})
		if err := os.WriteFile(part.path, text, fileMode); err != nil {
			return Files{}, fmt.Errorf("issuing certificate: %w", err)
		}
	}
	return f, nil
}
