package proxy_test

// This file tests long prompts.

import (
	"context"
	"net/http/httptest"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// TestLongPromptsTakeLittleMemory guards against memory in proportion to the tokens that a request gives for its prompt.
func TestLongPromptsTakeLittleMemory(t *testing.T) {
	h := newHarness(t, 1, respond(200, "Signed: 1\r\n", "x"))
	req := newRequest(catalog.Idempotent, 1, false)
	for range 100 {
		req.Prompt = append(req.Prompt, request.PromptPart{ID: "a", Tokens: 10_000_000})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.g.Expect(h.proxy.Serve(context.Background(), req, httptest.NewRecorder())).To(Succeed())
	runtime.ReadMemStats(&after)
	h.g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4<<20))
}
