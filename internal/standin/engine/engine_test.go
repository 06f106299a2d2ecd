package engine_test

// This file tests the service-time model, cancellation, orders and cache events.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/standin/cache"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/output"
	"github.com/jacinthstile/jacinthstile/internal/standin/weightstore"
)

// call passes one request to the handler, without a socket.
func call(e *engine.Engine, method, path string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
	return w
}

// stageCall returns a stage call for 4 tokens, with the fields in more added.
func stageCall(request, prompt string, more map[string]any) map[string]any {
	q := map[string]any{"request": request, "stage": "generate", "attempt": 1, "prompt": prompt, "tokens": 4}
	for k, v := range more {
		q[k] = v
	}
	return q
}

// TestServiceTime guards against an engine that charges prefill time for cached or
// imported prompt tokens, or that generates tokens again which a resumed call has
// already.
func TestServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := ledger.New()
		e := engine.New(engine.Options{
			Name: "llm-1", Slots: 2, FirstToken: 10 * time.Millisecond, PromptToken: time.Millisecond,
			TokenInterval: 5 * time.Millisecond, BatchOverhead: 1, Cache: cache.Options{Blocks: 100},
		}, l)
		prompt := strings.Repeat("x", 512) // 128 tokens, two whole blocks
		for _, more := range []map[string]any{
			nil, nil, {"import": "kv/r2/generate"},
			{"from": 3}, {"from": 3, "partial": output.Text("r3", "generate", prompt, 3)},
		} {
			call(e, "POST", "/v1/stages", stageCall(fmt.Sprintf("r%d", len(l.Entries())), prompt, more))
		}
		cold, warm, imported, resumed := l.Entries()[0], l.Entries()[1], l.Entries()[2], l.Entries()[3]
		g.Expect(l.Entries()).To(HaveLen(4), "a resumed call without the text of the earlier tokens must not run")
		g.Expect(cold.Busy).To(Equal(153 * time.Millisecond))
		g.Expect(warm.Busy).To(Equal(25 * time.Millisecond))
		g.Expect(warm.Cached).To(Equal(128))
		g.Expect(imported.Imported).To(BeTrue())
		g.Expect(resumed.Tokens).To(Equal(1))
	})
}

// TestBatchSlowsTokens guards against a batch whose streams do not slow each other
// down: the second stream doubles the time between tokens at a BatchOverhead of 1.
func TestBatchSlowsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := ledger.New()
		// Both calls have joined the batch before the first token, whichever starts first.
		e := engine.New(engine.Options{
			Name: "llm-1", Slots: 2, FirstToken: time.Millisecond, TokenInterval: 5 * time.Millisecond, BatchOverhead: 1,
		}, l)
		go call(e, "POST", "/v1/stages", stageCall("a", "", nil))
		call(e, "POST", "/v1/stages", stageCall("b", "", nil))
		time.Sleep(time.Millisecond)
		for _, entry := range l.Entries() {
			NewWithT(t).Expect(entry.Busy).To(Equal(31 * time.Millisecond))
		}
	})
}

// TestCancelStopsGeneration guards against a cancelled call that goes on generating
// or is recorded as complete.
func TestCancelStopsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := ledger.New()
		e := engine.New(engine.Options{Name: "llm-1", Slots: 1, TokenInterval: time.Second}, l)
		go call(e, "POST", "/v1/stages", stageCall("a", "", nil))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(call(e, "POST", "/v1/kv/export", map[string]string{"request": "a", "stage": "generate"}).Code).To(Equal(http.StatusOK))
		call(e, "DELETE", "/v1/stages/a/generate/1", nil)
		synctest.Wait()
		g.Expect(l.Entries()[0].Cancelled).To(BeTrue())
		g.Expect(l.Entries()[0].Tokens).To(Equal(2))
		g.Expect(l.Cancels()).To(HaveLen(1))
	})
}

// TestOrders guards against an engine that serves a model before its weights are
// loaded, stops serving the old model before that, or accepts a stale order although
// it checks fencing numbers.
func TestOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			e := engine.New(engine.Options{
				Name: "llm-1", Slots: 1, Models: []string{"a"}, ModelBytes: map[string]int64{"b": 2000},
				Fenced: fenced, Weights: weightstore.New(1000),
			}, ledger.New())
			order := func(version int, model string) int {
				return call(e, "POST", "/v1/orders", map[string]any{
					"epoch": 1, "version": version, "models": []map[string]string{{"name": model}},
				}).Code
			}
			serves := func(model string) int {
				return call(e, "POST", "/v1/stages", stageCall("r", "", map[string]any{"model": model})).Code
			}
			g.Expect(order(2, "b")).To(Equal(http.StatusOK))
			g.Expect(serves("b")).To(Equal(http.StatusServiceUnavailable), "while the model loads")
			g.Expect(serves("a")).To(Equal(http.StatusOK), "the old model is served until the new one is loaded")
			time.Sleep(3 * time.Second)
			g.Expect(serves("b")).To(Equal(http.StatusOK))
			want := http.StatusOK
			if fenced {
				want = http.StatusConflict
			}
			g.Expect(order(1, "a")).To(Equal(want))
		})
	}
}

// TestEventsAreDelayedAndLost guards against cache events that are readable before
// the configured lag or are never lost.
func TestEventsAreDelayedAndLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := engine.New(engine.Options{
			Name: "llm-1", Slots: 1, Cache: cache.Options{Blocks: 2, EventLag: time.Second, LoseEvery: 2},
		}, ledger.New())
		call(e, "POST", "/v1/stages", stageCall("r", strings.Repeat("x", 1024), nil)) // inserts 4 blocks, evicts 2
		read := func() (out struct {
			Next   uint64
			Events []struct{ Drop bool }
		}) {
			json.Unmarshal(call(e, "GET", "/v1/events?after=0", nil).Body.Bytes(), &out)
			return out
		}
		g.Expect(read().Events).To(BeEmpty())
		time.Sleep(time.Second)
		g.Expect(read().Events).To(HaveLen(3), "every second of 6 events is lost")
		g.Expect(read().Next).To(BeEquivalentTo(5))
	})
}
