package engineclient_test

// This file tests answers of engines whose heads are not valid.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/placement/engineclient"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
)

// TestInvalidFieldNameIsNoAnswer guards against taking the state of an engine, or the success of an order, from a response in
// whose head the name of a field holds a blank.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{"X-A: 1": true, "X A: 1": false, "X-A : 1": false, "Content-Length : 2": false} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\nContent-Length: 13\r\n\r\n{\"role\": \"r\"}", line))
		}))
		address := server.Listener.Addr().String()
		c, closeClient := engineclient.New(nil)
		state, stateErr := c.State(t.Context(), address)
		orderErr := c.SendOrder(t.Context(), plan.Order{Address: address, Role: "r"})
		closeClient()
		server.Close()
		if !valid {
			g.Expect(stateErr).To(HaveOccurred(), line)
			g.Expect(orderErr).To(HaveOccurred(), line)
			continue
		}
		g.Expect(stateErr).NotTo(HaveOccurred())
		g.Expect(orderErr).NotTo(HaveOccurred())
		g.Expect(state.Role).To(Equal("r"))
	}
}
