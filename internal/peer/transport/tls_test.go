package transport_test

// This file tests which peers are accepted when sessions use TLS.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.sign(t, template, template, &key.PublicKey)
	return a
}

func (a *authority) sign(t *testing.T, template, parent *x509.Certificate, key *ecdsa.PublicKey) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, a.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// tlsConfig returns the configuration of an instance with a certificate for name
// from this authority.
func (a *authority) tlsConfig(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	cert := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey)
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	pair := tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
	return &tls.Config{
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
			})
			return err
		},
	}
}

// TestOnlyCertifiedNamesAreAccepted guards against a session with a peer that has
// no certificate, one of another authority, or one for another name than the peer
// sends. Either side must refuse.
func TestOnlyCertifiedNamesAreAccepted(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name     string
		caller   *tls.Config
		accepter *tls.Config
		ok       bool
	}{
		{"both certificates valid", own.tlsConfig(t, "a"), own.tlsConfig(t, "b"), true},
		{"caller of another authority", other.tlsConfig(t, "a"), own.tlsConfig(t, "b"), false},
		{"accepter of another authority", own.tlsConfig(t, "a"), other.tlsConfig(t, "b"), false},
		{"caller under another name", own.tlsConfig(t, "x"), own.tlsConfig(t, "b"), false},
		{"accepter under another name", own.tlsConfig(t, "a"), own.tlsConfig(t, "x"), false},
		{"caller without TLS", nil, own.tlsConfig(t, "b"), false},
		{"accepter without TLS", own.tlsConfig(t, "a"), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := start(t, "a", 1, "127.0.0.1:0", c.caller)
			_, address := start(t, "b", 2, "127.0.0.1:0", c.accepter)
			_, err := a.Call(t.Context(), address, method.Part, &peerpb.Blob{}, &peerpb.Blob{})
			if c.ok {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var unreachable *transport.UnreachableError
			g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		})
	}
}
