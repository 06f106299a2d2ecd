package connpool_test

// This file tests connections that only check the path to an endpoint.

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// TestProbesKeepOneConnection guards against checks of the path that use up the connections which an
// endpoint takes from all instances together.
func TestProbesKeepOneConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	closed := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c.Read(make([]byte, 1))
				closed <- struct{}{}
			}()
		}
	}()
	pool, closePool := connpool.New(connpool.NewDial(), nil)
	defer closePool()
	for range 4 {
		g.Expect(pool.Probe(t.Context(), "e", l.Addr().String())).To(Succeed())
	}
	for range 3 {
		g.Eventually(closed).Should(Receive())
	}
	g.Consistently(closed, 50*time.Millisecond).ShouldNot(Receive())
}
