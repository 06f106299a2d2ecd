package mesh_test

// This file tests which peers are let in when sessions use TLS.

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

	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// authority signs the certificates of a test.
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

// security returns the settings of an instance of that name.
func (a *authority) security(t *testing.T, name string) *tls.Config {
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

func TestOnlyCertifiedNamesAreLetIn(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name     string
		caller   *tls.Config
		accepter *tls.Config
		ok       bool
	}{
		{"both proved", own.security(t, "a"), own.security(t, "b"), true},
		{"caller of another authority", other.security(t, "a"), own.security(t, "b"), false},
		{"accepter of another authority", own.security(t, "a"), other.security(t, "b"), false},
		{"caller under another name", own.security(t, "x"), own.security(t, "b"), false},
		{"accepter under another name", own.security(t, "a"), own.security(t, "x"), false},
		{"caller without TLS", nil, own.security(t, "b"), false},
		{"accepter without TLS", own.security(t, "a"), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := start(t, "a", 1, "127.0.0.1:0", c.caller)
			_, address := start(t, "b", 2, "127.0.0.1:0", c.accepter)
			_, err := a.Call(t.Context(), address, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
			if c.ok {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var unreachable *mesh.Unreachable
			g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		})
	}
}
