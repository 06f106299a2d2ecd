package connpool_test

// This file tests how late copies of responses are recognized.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

// TestIdentify guards against a late copy that is taken for another response, of the last response
// or of any earlier one of the connection, and against one that is seen where there is none.
func TestIdentify(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") }))
	defer server.Close()
	pool, closePool := connpool.New(connpool.NewDial(), nil)
	defer closePool()
	identify := func(endpoint, id string) (ok bool, connection uint64) {
		resp, err := pool.Send(t.Context(), &connpool.Request{
			EndpointName: endpoint, Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h",
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		_, err = io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.Identify(id), resp.Connection
	}
	for _, c := range []struct {
		endpoint, id string
		want         bool
	}{{"a", "h1", true}, {"a", "h2", true}, {"a", "h1", false}, {"b", "h1", true}} {
		ok, _ := identify(c.endpoint, c.id)
		g.Expect(ok).To(Equal(c.want), "answer %s of endpoint %s", c.id, c.endpoint)
	}
	seenOn := map[string]uint64{}
	for i := range 2000 {
		id := fmt.Sprint(i)
		ok, n := identify("c", id)
		g.Expect(ok).To(BeTrue())
		seenOn[id] = n
		if again, n := identify("c", fmt.Sprint(i/2)); n == seenOn[fmt.Sprint(i/2)] {
			g.Expect(again).To(BeFalse(), "a copy of any earlier answer of the connection")
		}
	}
}
