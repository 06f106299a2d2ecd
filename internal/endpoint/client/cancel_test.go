package client_test

// This file checks cancellation against the close of the client.

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
)

func TestCancelDuringCloseIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	c, closeClient := client.New()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { c.Cancel(server.Listener.Addr().String(), call.Call{Request: "r", Stage: "s", Attempt: 1}) })
	}
	closeClient()
	wg.Wait()
	g.Expect(func() { c.Cancel("127.0.0.1:1", call.Call{}) }).NotTo(Panic())
}
