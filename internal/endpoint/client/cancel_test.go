package client_test

// This file checks cancellations while the client is closed.

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

// A hedged attempt that lost to another one can cancel its call while the client is
// closed. Starting a background task then would panic on the wait group or leak a
// goroutine; the cancellation must be skipped.
func TestCancelDuringCloseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	c, closeClient := client.New()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			c.Cancel(server.Listener.Addr().String(), stagecall.Call{RequestID: "r", Stage: "s", Attempt: 1})
		})
	}
	closeClient()
	wg.Wait()
	g.Expect(func() { c.Cancel("127.0.0.1:1", stagecall.Call{}) }).NotTo(Panic())
}
