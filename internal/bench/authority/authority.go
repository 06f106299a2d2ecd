// Package authority provides a certificate authority for tests and for runs on
// loopback. It writes the certificates and keys of instances to files.
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
	lifetime = 24 * time.Hour // of all certificates
	fileMode = 0o600
)

// Authority is a certificate authority with a key that exists in memory only.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of the PEM files that Issue wrote.
type Files struct {
	Cert string // certificate of the instance
	Key  string // private key of the instance, PKCS #8
	CA   string // certificate of the authority
}

// New returns an authority with a new key and a self-signed certificate.
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

// Issue creates a key pair and a certificate for the instance of the given name
// on loopback, valid for TLS servers and clients, and writes them and the
// authority's own certificate to dir. The serial number must be unique.
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
	paths := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	for _, file := range []struct {
		path, kind string
		data       []byte
	}{
		{paths.Cert, "CERTIFICATE", der},
		{paths.Key, "PRIVATE KEY", raw},
		{paths.CA, "CERTIFICATE", a.cert.Raw},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.data})
		if err := os.WriteFile(file.path, text, fileMode); err != nil {
			return Files{}, fmt.Errorf("issuing certificate: %w", err)
		}
	}
	return paths, nil
}
