package faultinject_test

// This file tests every kind of fault with the real endpoint client.

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/output"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
)

const tokens = 4

// TestFaultsAtTheClient guards against a fault that the endpoint client reports as
// another kind of failure, against tokens of a faulty response that are passed on
// although they are wrong, and against a wrong number of executions per fault.
func TestFaultsAtTheClient(t *testing.T) {
	cases := []struct {
		fault  faultinject.Fault
		pool   failure.Kind // kind of the failure at the pool worker; zero for success
		engine failure.Kind // the same at the engine
		runs   int          // executions that the ledger records for each endpoint
	}{
		{faultinject.Fault{Kind: faultinject.DeadBefore}, failure.Lost, failure.Lost, 0},
		{faultinject.Fault{Kind: faultinject.DeadAfter}, failure.Lost, failure.Lost, 1},
		{faultinject.Fault{Kind: faultinject.Slow}, 0, 0, 1},
		{faultinject.Fault{Kind: faultinject.Errored}, failure.Errored, failure.Errored, 1},
		{faultinject.Fault{Kind: faultinject.Refused}, failure.Refused, failure.Refused, 0},
		{faultinject.Fault{Kind: faultinject.Late, Delay: 2 * time.Second}, failure.Late, failure.Late, 1},
		{faultinject.Fault{Kind: faultinject.Swapped}, failure.Foreign, failure.Foreign, 1},
		{faultinject.Fault{Kind: faultinject.Cut, At: 2}, failure.Lost, failure.Lost, 1},
		{faultinject.Fault{Kind: faultinject.Short, At: 2}, failure.Lost, failure.Lost, 1},
		{faultinject.Fault{Kind: faultinject.Doubled}, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := ledger.New()
			p := pool.New(pool.Options{Name: "encode-1", Slots: 1, ServiceTime: time.Millisecond}, l)
			kind, _ := callWithFault(t, c.fault, faultinject.New(), p)
			g.Expect(kind).To(Equal(c.pool), "pool")
			e := engine.New(engine.Options{Name: "llm-1", Slots: 1, TokenInterval: time.Millisecond}, l)
			kind, text := callWithFault(t, c.fault, faultinject.New(), e)
			g.Expect(kind).To(Equal(c.engine), "engine")
			want := output.Text("r", "s", "prompt", tokens)
			g.Expect(strings.HasPrefix(want, text)).To(BeTrue(), "tokens passed on: %q", text)
			g.Expect(l.Entries()).To(HaveLen(2 * c.runs))
		})
	}
}

// callWithFault sends a call to which the fault applies. It returns the kind of the
// failure, zero for success, and the text of the tokens that were passed on.
func callWithFault(t *testing.T, f faultinject.Fault, tr *faultinject.Injector, h http.Handler) (failure.Kind, string) {
	tr.Add(f)
	s := httptest.NewServer(tr.Wrap("e", h))
	defer s.Close()
	c, closeClient := client.New()
	defer closeClient()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var text strings.Builder
	_, err := c.CallStage(ctx, strings.TrimPrefix(s.URL, "http://"), stagecall.Call{
		RequestID: "r", Stage: "s", Attempt: 1, Prompt: "prompt", MaxTokens: tokens, Deadline: time.Now().Add(3 * time.Second),
	}, func(k stagecall.Token) error { text.WriteString(k.Text); return nil })
	if err == nil {
		return 0, text.String()
	}
	return failure.KindOf(err), text.String()
}
