package credential_test

// This file tests mutual authentication and the reloading of changed files.

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/authority"
	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
)

func newAuthority(g Gomega) *authority.Authority {
	a, err := authority.New()
	g.Expect(err).NotTo(HaveOccurred())
	return a
}

func issue(g Gomega, a *authority.Authority, dir string, serial int64) credential.Files {
	f, err := a.Issue(dir, "entry", serial)
	g.Expect(err).NotTo(HaveOccurred())
	return credential.Files(f)
}

func load(t *testing.T, g Gomega, a *authority.Authority) *credential.Credential {
	k, err := credential.New(issue(g, a, t.TempDir(), 2), logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	return k
}

// handshake connects the two sides over loopback. It returns the serial number
// of the server's certificate as the client saw it, or the first error of either
// side.
func handshake(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() { served <- acceptOne(l) }()
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

// acceptOne accepts one connection and completes its TLS handshake.
func acceptOne(l net.Listener) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*tls.Conn).Handshake()
}

// TestBothSidesVerify guards against a connection to a client or server whose
// certificate another authority signed.
func TestBothSidesVerify(t *testing.T) {
	g := NewWithT(t)
	ours, foreign := newAuthority(g), newAuthority(g)
	for _, c := range []struct {
		name           string
		server, client *authority.Authority
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

// TestChangedFilesAreReloaded guards against a process that needs a restart to
// use a renewed certificate, and against one that loses its valid certificate
// because the file was overwritten with an invalid one.
func TestChangedFilesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g)
	dir := t.TempDir()
	files := issue(g, a, dir, 10)
	var reports atomic.Int64
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, "reloading TLS files failed") {
			reports.Add(1)
		}
	}, funcr.Options{})
	server, err := credential.New(files, log)
	g.Expect(err).NotTo(HaveOccurred())
	client := load(t, g, a)
	serial := func() int64 {
		n, err := handshake(server.Config(), client.Config())
		g.Expect(err).NotTo(HaveOccurred())
		return n
	}
	g.Expect(serial()).To(Equal(int64(10)))

	issue(g, a, dir, 11)
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Cert, later, later)).To(Succeed())
	g.Eventually(serial, 3*time.Second, 100*time.Millisecond).Should(Equal(int64(11)))

	g.Expect(os.WriteFile(files.Cert, []byte("not a certificate"), 0o600)).To(Succeed())
	g.Eventually(func() int64 {
		serial()
		return reports.Load()
	}, 3*time.Second, 100*time.Millisecond).Should(BeNumerically(">", 0))
	g.Expect(serial()).To(Equal(int64(11)), "the last valid certificate stays in use")
}
