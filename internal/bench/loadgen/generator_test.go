package loadgen_test

// This file tests the load generator against the parts of a daemon and against servers that stall.

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/bench/loadgen"
	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/standin/service"
)

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func run(t *testing.T, p loadgen.Plan) []loadgen.Result {
	gen, closeGenerator, err := loadgen.New(p)
	if err != nil {
		t.Fatal(err)
	}
	defer closeGenerator()
	var results []loadgen.Result
	if err := gen.Run(t.Context(), func(r loadgen.Result) error {
		results = append(results, r)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return results
}

func plan(url string, mix ...loadgen.Request) loadgen.Plan {
	return loadgen.Plan{
		URLs: []string{url}, Accounts: []loadgen.Account{{Key: rig.Key, Weight: 1}}, Mix: mix,
		Steps:    []loadgen.Step{{Rate: 50, Length: span.Span(time.Second)}, {Rate: 100, Length: span.Span(time.Second / 2)}},
		Deadline: span.Span(5 * time.Second), MaxInFlight: 500, Seed: 1,
	}
}

// A generator that builds one kind of request wrongly, or misreads its response, would report failures of a daemon that
// works.
func TestEveryKindOfRequestIsAnswered(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New()
	p := serve(t, pool.New(pool.Options{Name: "p", Slots: 8, ServiceTime: time.Millisecond}, l))
	table := rig.Table(
		rig.Pool("e", p, "encode"), rig.Pool("r", p, "retrieve"), rig.Pool("k", p, "rerank"),
		rig.Engine("g", serve(t, engine.New(engine.Options{Name: "g", Slots: 64, TokenInterval: time.Millisecond}, l))),
		rig.Worker("w", serve(t, service.New(service.Options{Name: "w", ServiceTime: time.Millisecond}, l, nil))),
	)
	g.Expect(table.Freeze()).To(Succeed())
	r, closeRig := rig.New(table, logr.Discard())
	defer closeRig()
	results := run(t, plan("http://"+serve(t, r.Caller),
		loadgen.Request{Kind: loadgen.Pipeline, Name: "four", Weight: 1},
		loadgen.Request{Kind: loadgen.Pipeline, Name: "four", Weight: 1, Stream: true},
		loadgen.Request{Kind: loadgen.Chat, Name: rig.Model, Weight: 1, Tokens: 4},
		loadgen.Request{Kind: loadgen.Chat, Name: rig.Model, Weight: 1, Stream: true},
		loadgen.Request{Kind: loadgen.Call, Name: rig.Service, Path: "/status", Weight: 1},
		loadgen.Request{Kind: loadgen.Order, Name: rig.Service, Path: "/reserve", Weight: 1},
	))
	g.Expect(results).To(HaveLen(2))
	for _, r := range results {
		g.Expect(r.Sent).To(BeNumerically(">", 20))
		g.Expect(r.Answered).To(Equal(r.Sent), "%+v", r)
		g.Expect(r.Attainment).To(Equal(1.0))
		g.Expect(r.Stages).To(HaveLen(4))
		g.Expect(r.Latency.P50).To(BeNumerically(">", 0))
		g.Expect(r.FirstEvent.P50).To(BeNumerically(">", 0))
	}
}

// A server that stalls delays all requests that become due meanwhile, not only the one that it is handling. A generator
// that waits for responses, or measures from the time of sending, would miss these delays (coordinated omission).
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	g := NewWithT(t)
	serial := make(chan struct{}, 1)
	stall := time.Now().Add(300 * time.Millisecond)
	url := "http://" + serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serial <- struct{}{}
		defer func() { <-serial }()
		time.Sleep(time.Until(stall))
		json.NewEncoder(w).Encode(map[string]any{"stages": []any{}})
	}))
	p := plan(url, loadgen.Request{Kind: loadgen.Pipeline, Name: "x", Weight: 1})
	p.Steps = []loadgen.Step{{Rate: 200, Length: span.Span(600 * time.Millisecond)}}
	r := run(t, p)[0]
	g.Expect(r.Sent).To(BeNumerically(">", 60))
	g.Expect(r.Latency.Max).To(BeNumerically(">", 200))
	// A third or more of the requests are due during the stall, and each waits for the rest of it. A closed loop would
	// have sent one of them.
	g.Expect(r.Latency.P95).To(BeNumerically(">", 100))
}

// A server that does not respond would let the generator run out of connections and memory. Requests beyond the limit
// are not sent, but they must lower the attainment, or an overloaded daemon would look better than it is.
func TestArrivalsBeyondTheInFlightLimitCountAsSkipped(t *testing.T) {
	g := NewWithT(t)
	url := "http://" + serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
	}))
	p := plan(url, loadgen.Request{Kind: loadgen.Pipeline, Name: "x", Weight: 1})
	p.Steps = p.Steps[:1]
	p.MaxInFlight = 3
	r := run(t, p)[0]
	g.Expect(r.Sent).To(BeNumerically("<=", 6))
	g.Expect(r.Skipped).To(BeNumerically(">", 20))
	g.Expect(r.Attainment).To(BeZero())
}

// Whoever writes a plan should see all invalid values at once, not one a run.
func TestCheckReportsEveryInvalidValue(t *testing.T) {
	g := NewWithT(t)
	err := loadgen.Plan{URLs: []string{"x"}, Mix: []loadgen.Request{{Kind: "talk"}}, Steps: []loadgen.Step{{Rate: -1}}}.Check()
	for _, want := range []string{"urls[0]", "deadline", "flight", "accounts", "mix[0].kind", "steps[0]"} {
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}
