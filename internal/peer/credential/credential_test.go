package credential_test

// This file checks verification, refusal and rereading of keys.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
)

// authority signs test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(g Gomega) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &authority{cert: cert, key: key}
}

// write puts a new pair and the authority's certificate in dir.
func (a *authority) write(g Gomega, dir string, serial int64) (cert, key, ca string) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &own.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(own)
	g.Expect(err).NotTo(HaveOccurred())
	save := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
		return path
	}
	return save("cert.pem", "CERTIFICATE", der), save("key.pem", "PRIVATE KEY", raw), save("ca.pem", "CERTIFICATE", a.cert.Raw)
}

func load(t *testing.T, g Gomega, a *authority) *credential.Credential {
	cert, key, ca := a.write(g, t.TempDir(), 2)
	k, err := credential.New(credential.Files{Cert: cert, Key: key, CA: ca}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	return k
}

// handshake connects the two sides over loopback and returns the serial number
// that the client saw, and the first error of either side.
func handshake(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() { served <- greet(l) }()
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := <-served; err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// greet accepts one connection and completes its handshake.
func greet(l net.Listener) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*tls.Conn).Handshake()
}

func TestBothSidesVerify(t *testing.T) {
	g := NewWithT(t)
	ours, foreign := newAuthority(g), newAuthority(g)
	for _, c := range []struct {
		name           string
		server, client *authority
		want           bool
	}{
		{"same authority", ours, ours, true},
		{"foreign client", ours, foreign, false},
		{"foreign server", foreign, ours, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := handshake(load(t, g, c.server).Config(), load(t, g, c.client).Config())
			g.Expect(err == nil).To(Equal(c.want), "%v", err)
		})
	}
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g)
	dir := t.TempDir()
	cert, key, ca := a.write(g, dir, 10)
	var reports atomic.Int64
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, "not reread") {
			reports.Add(1)
		}
	}, funcr.Options{})
	server, err := credential.New(credential.Files{Cert: cert, Key: key, CA: ca}, log)
	g.Expect(err).NotTo(HaveOccurred())
	client := load(t, g, a)
	serial := func() int64 {
		n, err := handshake(server.Config(), client.Config())
		g.Expect(err).NotTo(HaveOccurred())
		return n
	}
	g.Expect(serial()).To(Equal(int64(10)))

	a.write(g, dir, 11)
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(cert, later, later)).To(Succeed())
	g.Eventually(serial, 3*time.Second, 100*time.Millisecond).Should(Equal(int64(11)))

	g.Expect(os.WriteFile(cert, []byte("not a certificate"), 0o600)).To(Succeed())
	g.Eventually(func() int64 {
		serial()
		return reports.Load()
	}, 3*time.Second, 100*time.Millisecond).Should(BeNumerically(">", 0))
	g.Expect(serial()).To(Equal(int64(11)), "the last good keys stay in use")
}
