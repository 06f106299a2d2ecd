package connpool_test

// This file tests which connection carries a request.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// newSender returns a function that sends a request with an id and returns the number of its
// connection, and the count of open connections.
func newSender(t *testing.T) (send func(id string) uint64, open *atomic.Int64) {
	g := NewWithT(t)
	open = new(atomic.Int64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	pool, closePool := connpool.New(connpool.NewDial(), nil)
	t.Cleanup(closePool)
	return func(id string) uint64 {
		resp, err := pool.Send(t.Context(), &connpool.Request{
			EndpointName: "e", Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", ID: id,
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		_, err = io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.Connection
	}, open
}

// TestConnectionsCarryAnIDOnce guards against two sends of one id on a connection, where a late copy of
// the first response would be taken for the second one, and against connections that pile up if a
// caller uses one id for all of its requests.
func TestConnectionsCarryAnIDOnce(t *testing.T) {
	g := NewWithT(t)
	send, open := newSender(t)
	used := map[uint64]bool{}
	for i := range 50 {
		n := send("same")
		g.Expect(used).NotTo(HaveKey(n))
		used[n] = true
		g.Expect(send(fmt.Sprint("own", i))).To(Equal(n), "another request uses the connection")
	}
	g.Eventually(open.Load).Should(BeNumerically("==", 1), "open connections")
}

// TestConnectionsForgetNoID guards against a connection that carries more requests than it can remember
// the ids of, and against one that is given up as calls without an id use it.
func TestConnectionsForgetNoID(t *testing.T) {
	g := NewWithT(t)
	send, _ := newSender(t)
	for range 2000 {
		g.Expect(send("")).To(BeNumerically("==", 1))
	}
	for i := range 2000 {
		n := send(fmt.Sprint("own", i))
		if i == 0 {
			g.Expect(n).To(BeNumerically("==", 1))
		}
		g.Expect(n).To(BeNumerically("<=", 5))
	}
}
