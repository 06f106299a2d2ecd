package runner_test

// This file tests retries, hedges, resumption and budgets against small
// endpoints that fail in one way each.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/job"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type wireCall struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	From    int    `json:"from"`
	Partial string `json:"partial"`
	Tokens  int    `json:"tokens"`
	Import  string `json:"import"`
}

// stub is an endpoint that generates tokens " 0", " 1", … and counts calls.
type stub struct {
	calls   atomic.Int64
	deleted atomic.Int64
	gone    atomic.Int64 // calls whose caller went away
	handle  func(w http.ResponseWriter, r *http.Request, c wireCall, n int64)
	address string
}

func newStub(t *testing.T, handle func(w http.ResponseWriter, r *http.Request, c wireCall, n int64)) *stub {
	s := &stub{handle: handle}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.deleted.Add(1)
		return
	}
	var c wireCall
	json.NewDecoder(r.Body).Decode(&c)
	n := s.calls.Add(1)
	s.handle(w, r, c, n)
	if r.Context().Err() != nil {
		s.gone.Add(1)
	}
}

func emit(w http.ResponseWriter, c wireCall, i int) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: {\"request\":%q,\"stage\":%q,\"attempt\":%d,\"index\":%d,\"text\":\" %d\"}\n\n",
		c.Request, c.Stage, c.Attempt, i, i)
	http.NewResponseController(w).Flush()
}

// generate streams the tokens from c.From to c.Tokens and the end. It refuses a
// call that does not bring the text before them.
func generate(w http.ResponseWriter, _ *http.Request, c wireCall, _ int64) {
	partial := ""
	for i := range c.From {
		partial += fmt.Sprintf(" %d", i)
	}
	if c.Partial != partial {
		http.Error(w, "partial", http.StatusBadRequest)
		return
	}
	size := 0
	for i := c.From; i < c.Tokens; i++ {
		emit(w, c, i)
		size += len(fmt.Sprintf(" %d", i))
	}
	fmt.Fprintf(w, "data: {\"request\":%q,\"stage\":%q,\"attempt\":%d,\"done\":true,\"size\":%d,\"reason\":\"length\"}\n\n",
		c.Request, c.Stage, c.Attempt, size)
}

// cutAfter streams n tokens and drops the connection.
func cutAfter(n int) func(http.ResponseWriter, *http.Request, wireCall, int64) {
	return func(w http.ResponseWriter, _ *http.Request, c wireCall, _ int64) {
		for i := c.From; i < c.From+n; i++ {
			emit(w, c, i)
		}
		panic(http.ErrAbortHandler)
	}
}

// hang sends nothing until the caller goes away.
func hang(_ http.ResponseWriter, r *http.Request, _ wireCall, _ int64) { <-r.Context().Done() }

func abort(http.ResponseWriter, *http.Request, wireCall, int64) { panic(http.ErrAbortHandler) }

func answer(w http.ResponseWriter, _ *http.Request, c wireCall, _ int64) {
	fmt.Fprintf(w, `{"request":%q,"stage":%q,"attempt":%d,"text":"ok","done":true,"size":2}`, c.Request, c.Stage, c.Attempt)
}

// fixture is a rig over the given endpoints, with a job of one of its pipelines.
func fixture(t *testing.T, name string, rows ...endpoint.Endpoint) (*rig.Rig, job.Job) {
	table := rig.Table(rows...)
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	r, closeRig := rig.New(table, logr.Discard())
	t.Cleanup(closeRig)
	return r, job.Job{
		ID: "r1", Account: rig.Account, Pipeline: table.Pipeline(name), Input: "hello",
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// collector is a sink that checks the order of tokens.
type collector struct {
	mu   sync.Mutex
	text strings.Builder
	next int
	bad  int
}

func (c *collector) sink(t stagecall.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Index != c.next {
		c.bad++
	}
	c.next++
	c.text.WriteString(t.Text)
	return nil
}

const whole = " 0 1 2 3 4 5 6 7"

func TestStreamResumesOnAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	first := newStub(t, cutAfter(3))
	second := newStub(t, generate)
	r, j := fixture(t, "chat", rig.Engine("a", first.address), rig.Engine("b", second.address))
	for range 4 { // whichever engine comes first
		var c collector
		out, err := r.Runner.Run(t.Context(), j, c.sink)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Output).To(Equal(whole))
		g.Expect(c.text.String()).To(Equal(whole))
		g.Expect(c.bad).To(BeZero())
	}
	g.Expect(first.calls.Load()).To(BeNumerically(">", 0))
}

func TestStreamThatNobodyCanFinishEndsWithItsOwnCode(t *testing.T) {
	g := NewWithT(t)
	only := newStub(t, cutAfter(2))
	r, j := fixture(t, "chat", rig.Engine("a", only.address))
	var c collector
	_, err := r.Runner.Run(t.Context(), j, c.sink)
	g.Expect(fault.From(err).Code).To(Equal(code.StreamBroken))
	g.Expect(c.bad).To(BeZero())
}

func TestSilentEngineIsHedgedAndTheLoserCancelled(t *testing.T) {
	g := NewWithT(t)
	quick := newStub(t, generate)
	r, j := fixture(t, "chat", rig.Engine("a", quick.address))
	for range 60 { // earns the budget for a hedge
		_, err := r.Runner.Run(t.Context(), j, nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	slow := newStub(t, hang)
	table := rig.Table(rig.Engine("s", slow.address), rig.Engine("a", quick.address))
	table.Version = 2
	table.Endpoints[0].Weight = 100 // draws the first attempt
	g.Expect(table.Freeze()).To(Succeed())
	r.Tables.Raise(table)
	for range 20 {
		var c collector
		out, err := r.Runner.Run(t.Context(), j, c.sink)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Output).To(Equal(whole))
		g.Expect(c.bad).To(BeZero())
		if slow.calls.Load() > 0 {
			break
		}
	}
	g.Expect(slow.calls.Load()).To(BeNumerically(">", 0), "no call went to the silent engine")
	g.Eventually(slow.deleted.Load).Should(BeNumerically(">", 0))
	g.Eventually(slow.gone.Load).Should(Equal(slow.calls.Load()))
}

func TestStalledStreamMovesToAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	stall := newStub(t, func(w http.ResponseWriter, r *http.Request, c wireCall, _ int64) {
		emit(w, c, 0)
		emit(w, c, 1)
		<-r.Context().Done()
	})
	quick := newStub(t, generate)
	r, j := fixture(t, "chat", rig.Engine("a", quick.address))
	for range 60 {
		_, err := r.Runner.Run(t.Context(), j, nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	table := rig.Table(rig.Engine("s", stall.address), rig.Engine("a", quick.address))
	table.Version = 2
	table.Endpoints[0].Weight = 100
	g.Expect(table.Freeze()).To(Succeed())
	r.Tables.Raise(table)
	var c collector
	out, err := r.Runner.Run(t.Context(), j, c.sink)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Output).To(Equal(whole))
	g.Expect(c.text.String()).To(Equal(whole))
	g.Expect(c.bad).To(BeZero())
}

func TestStageThatIsNotIdempotentIsSentOnce(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, c := range []struct {
		name   string
		handle func(http.ResponseWriter, *http.Request, wireCall, int64)
		trust  bool
		code   code.Code
		most   int64
	}{
		{"lost", abort, true, code.AnswerLost, 1},
		{"errored", func(w http.ResponseWriter, _ *http.Request, _ wireCall, _ int64) {
			w.WriteHeader(http.StatusInternalServerError)
		}, true, code.StageFailed, 1},
		{"refused by a trusted endpoint", refuse, true, code.EndpointRefused, 2},
		{"refused by another endpoint", refuse, false, code.AnswerLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := newStub(t, c.handle), newStub(t, c.handle)
			ra, rb := rig.Pool("a", a.address, "once"), rig.Pool("b", b.address, "once")
			ra.Trusted, rb.Trusted = c.trust, c.trust
			r, j := fixture(t, "once", ra, rb)
			_, err := r.Runner.Run(t.Context(), j, nil)
			g.Expect(fault.From(err).Code).To(Equal(c.code), "%v", err)
			g.Expect(a.calls.Load() + b.calls.Load()).To(Equal(c.most))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		g := NewWithT(t)
		live := newStub(t, answer)
		dead := rig.Pool("dead", closed.Listener.Addr().String(), "once")
		dead.Weight = 100
		r, j := fixture(t, "once", dead, rig.Pool("live", live.address, "once"))
		_, err := r.Runner.Run(t.Context(), j, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(live.calls.Load()).To(Equal(int64(1)))
	})
}

func refuse(w http.ResponseWriter, _ *http.Request, _ wireCall, _ int64) {
	w.Header().Set("Jacinthstile-Not-Run", "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	g := NewWithT(t)
	bad := newStub(t, abort)
	worse := newStub(t, abort)
	r, j := fixture(t, "chat", rig.Engine("a", bad.address), rig.Engine("b", worse.address))
	const jobs = 100
	for range jobs {
		_, err := r.Runner.Run(t.Context(), j, nil)
		g.Expect(err).To(HaveOccurred())
	}
	// The reserve of a new budget comes on top of the table's share.
	g.Expect(bad.calls.Load() + worse.calls.Load()).To(BeNumerically("<=", jobs+jobs/10+3))
}

func TestJobThatCannotFinishIsRefusedBeforeAnythingRuns(t *testing.T) {
	g := NewWithT(t)
	s := newStub(t, hang)
	r, j := fixture(t, "chat", rig.Engine("a", s.address))
	j.Deadline = time.Now().Add(20 * time.Millisecond) // the table expects 100 ms
	_, err := r.Runner.Run(t.Context(), j, nil)        // a probe
	g.Expect(fault.From(err).Code.Class()).To(Equal(class.Unknown))
	calls := s.calls.Load()
	start := time.Now()
	j.Deadline = start.Add(80 * time.Millisecond)
	_, err = r.Runner.Run(t.Context(), j, nil)
	f := fault.From(err)
	g.Expect(f.Code).To(Equal(code.NoTime))
	g.Expect(f.After).To(BeNumerically(">", 0))
	g.Expect(time.Since(start)).To(BeNumerically("<", 40*time.Millisecond), "the answer must come at once")
	g.Expect(s.calls.Load()).To(Equal(calls))
}

func TestCallerThatLeavesIsFeltAtTheEngine(t *testing.T) {
	g := NewWithT(t)
	s := newStub(t, hang)
	r, j := fixture(t, "chat", rig.Engine("a", s.address))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := r.Runner.Run(ctx, j, nil)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(s.gone.Load).Should(Equal(int64(1)))
	g.Eventually(s.deleted.Load).Should(Equal(int64(1)))
}

func TestStreamMovesOffAnEngineThatLeaves(t *testing.T) {
	g := NewWithT(t)
	var imported atomic.Value
	leaving := newStub(t, func(w http.ResponseWriter, r *http.Request, c wireCall, _ int64) {
		if r.URL.Path == "/v1/kv/export" {
			fmt.Fprint(w, `{"handle":"kv-1"}`)
			return
		}
		emit(w, c, 0)
		emit(w, c, 1)
		<-r.Context().Done()
	})
	staying := newStub(t, func(w http.ResponseWriter, r *http.Request, c wireCall, n int64) {
		imported.Store(c.Import)
		generate(w, r, c, n)
	})
	soon := time.Now().Add(2 * time.Second)
	row := rig.Engine("l", leaving.address)
	row.Weight, row.Leave = 100, &soon
	r, j := fixture(t, "chat", row, rig.Engine("s", staying.address))
	var c collector
	out, err := r.Runner.Run(t.Context(), j, c.sink)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Output).To(Equal(whole))
	g.Expect(c.bad).To(BeZero())
	g.Expect(leaving.calls.Load()).To(Equal(int64(2)), "the call and the export")
	g.Expect(imported.Load()).To(Equal("kv-1"))
}

func TestFourStagesHandTheirResultsOn(t *testing.T) {
	g := NewWithT(t)
	pool, engine := newStub(t, answer), newStub(t, generate)
	r, j := fixture(t, "four",
		rig.Pool("e", pool.address, "encode"), rig.Pool("r", pool.address, "retrieve"),
		rig.Pool("k", pool.address, "rerank"), rig.Engine("g", engine.address))
	out, err := r.Runner.Run(t.Context(), j, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Output).To(Equal(whole))
	g.Expect(out.Stages).To(HaveLen(4))
}
