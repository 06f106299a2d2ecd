package runner_test

// This file tests retries, hedges, the resumption of streams and the retry budget with stub
// endpoints that each fail in one way.

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
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
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

// stub is an endpoint that answers calls with a handler and counts them.
type stub struct {
	calls          atomic.Int64
	cancelRequests atomic.Int64 // DELETE requests, which ask an engine to stop working on a call
	disconnects    atomic.Int64 // calls whose client closed the connection
	handle         func(w http.ResponseWriter, r *http.Request, c wireCall, n int64)
	address        string
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
		s.cancelRequests.Add(1)
		return
	}
	var c wireCall
	json.NewDecoder(r.Body).Decode(&c)
	n := s.calls.Add(1)
	s.handle(w, r, c, n)
	if r.Context().Err() != nil {
		s.disconnects.Add(1)
	}
}

// emit streams token i, which is " 0", " 1" and so on.
func emit(w http.ResponseWriter, c wireCall, i int) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: {\"request\":%q,\"stage\":%q,\"attempt\":%d,\"index\":%d,\"text\":\" %d\"}\n\n",
		c.Request, c.Stage, c.Attempt, i, i)
	http.NewResponseController(w).Flush()
}

// generate streams the tokens from c.From to c.Tokens and the end of the response. It
// rejects a call whose partial text is not the text of the tokens before c.From.
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

// cutAfter streams n tokens and closes the connection.
func cutAfter(n int) func(http.ResponseWriter, *http.Request, wireCall, int64) {
	return func(w http.ResponseWriter, _ *http.Request, c wireCall, _ int64) {
		for i := c.From; i < c.From+n; i++ {
			emit(w, c, i)
		}
		panic(http.ErrAbortHandler)
	}
}

// hang sends nothing until the client closes the connection.
func hang(_ http.ResponseWriter, r *http.Request, _ wireCall, _ int64) { <-r.Context().Done() }

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request, wireCall, int64) { panic(http.ErrAbortHandler) }

func answer(w http.ResponseWriter, _ *http.Request, c wireCall, _ int64) {
	fmt.Fprintf(w, `{"request":%q,"stage":%q,"attempt":%d,"text":"ok","done":true,"size":2}`, c.Request, c.Stage, c.Attempt)
}

// fixture returns a rig with the given endpoints and a job for one of its pipelines.
func fixture(t *testing.T, name string, rows ...endpoint.Endpoint) (*rig.Rig, pipelinejob.Job) {
	table := rig.Table(rows...)
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	r, closeRig := rig.New(table, logr.Discard())
	t.Cleanup(closeRig)
	return r, pipelinejob.Job{
		ID: "r1", Account: rig.Account, Pipeline: table.Pipeline(name), Input: "hello",
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// collector collects the tokens of a stream and counts those that are out of order.
type collector struct {
	mu         sync.Mutex
	text       strings.Builder
	next       int
	outOfOrder int
}

func (c *collector) sink(t stagecall.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Index != c.next {
		c.outOfOrder++
	}
	c.next++
	c.text.WriteString(t.Text)
	return nil
}

const fullOutput = " 0 1 2 3 4 5 6 7"

// Guards against a stream that breaks off or repeats tokens when an engine closes the
// connection after some tokens: another engine must continue from the last token received.
func TestStreamResumesOnAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	first := newStub(t, cutAfter(3))
	second := newStub(t, generate)
	r, j := fixture(t, "chat", rig.Engine("a", first.address), rig.Engine("b", second.address))
	for range 4 { // several runs, because either engine may be chosen first
		var c collector
		out, err := r.Runner.Run(t.Context(), j, c.sink)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Output).To(Equal(fullOutput))
		g.Expect(c.text.String()).To(Equal(fullOutput))
		g.Expect(c.outOfOrder).To(BeZero())
	}
	g.Expect(first.calls.Load()).To(BeNumerically(">", 0))
}

// Guards against a wrong error code when a stream has delivered tokens and no engine can
// finish it: the caller must see that the stream broke.
func TestStreamThatNoEngineCanFinishFailsWithStreamBroken(t *testing.T) {
	g := NewWithT(t)
	only := newStub(t, cutAfter(2))
	r, j := fixture(t, "chat", rig.Engine("a", only.address))
	var c collector
	_, err := r.Runner.Run(t.Context(), j, c.sink)
	g.Expect(fault.From(err).Code).To(Equal(code.StreamBroken))
	g.Expect(c.outOfOrder).To(BeZero())
}

// Guards against waiting for an engine that accepts a call and never answers: a hedge must
// finish the stage, and the slow attempt must be cancelled, so that its engine stops work.
func TestUnresponsiveEngineIsHedgedAndSlowAttemptCancelled(t *testing.T) {
	g := NewWithT(t)
	quick := newStub(t, generate)
	r, j := fixture(t, "chat", rig.Engine("a", quick.address))
	for range 60 { // first attempts that add enough to the retry budget for a hedge
		_, err := r.Runner.Run(t.Context(), j, nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	slow := newStub(t, hang)
	table := rig.Table(rig.Engine("s", slow.address), rig.Engine("a", quick.address))
	table.Version = 2
	table.Endpoints[0].Weight = 100 // makes the picker prefer it for the first attempt
	g.Expect(table.Freeze()).To(Succeed())
	r.Tables.Activate(table)
	for range 20 {
		var c collector
		out, err := r.Runner.Run(t.Context(), j, c.sink)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Output).To(Equal(fullOutput))
		g.Expect(c.outOfOrder).To(BeZero())
		if slow.calls.Load() > 0 {
			break
		}
	}
	g.Expect(slow.calls.Load()).To(BeNumerically(">", 0), "no call was sent to the unresponsive engine")
	g.Eventually(slow.cancelRequests.Load).Should(BeNumerically(">", 0))
	g.Eventually(slow.disconnects.Load).Should(Equal(slow.calls.Load()))
}

// Guards against a stream that stalls in the middle while its connection stays open: a hedge
// on another engine must continue it from the last token received.
func TestStalledStreamIsHedgedOnAnotherEngine(t *testing.T) {
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
	r.Tables.Activate(table)
	var c collector
	out, err := r.Runner.Run(t.Context(), j, c.sink)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Output).To(Equal(fullOutput))
	g.Expect(c.text.String()).To(Equal(fullOutput))
	g.Expect(c.outOfOrder).To(BeZero())
}

// Guards against a non-idempotent stage that runs twice: it may be sent again only if it is
// known not to have run, because a trusted endpoint said so or no connection was made.
func TestNonIdempotentStageIsSentOnce(t *testing.T) {
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedServer.Close()
	for _, c := range []struct {
		name    string
		handle  func(http.ResponseWriter, *http.Request, wireCall, int64)
		trusted bool
		code    code.Code
		sends   int64
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
			ra.RefusalMeansNotRun, rb.RefusalMeansNotRun = c.trusted, c.trusted
			r, j := fixture(t, "once", ra, rb)
			_, err := r.Runner.Run(t.Context(), j, nil)
			g.Expect(fault.From(err).Code).To(Equal(c.code), "%v", err)
			g.Expect(a.calls.Load() + b.calls.Load()).To(Equal(c.sends))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		g := NewWithT(t)
		live := newStub(t, answer)
		dead := rig.Pool("dead", closedServer.Listener.Addr().String(), "once")
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

// Guards against retries that multiply the load when all engines fail: their number is
// limited to a share of the first attempts.
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
	// A new budget allows 3 retries in addition to the table's share of 10%.
	g.Expect(bad.calls.Load() + worse.calls.Load()).To(BeNumerically("<=", jobs+jobs/10+3))
}

// Guards against work on jobs that will miss their deadline: except for one probe, such a
// job must be refused at once, with a time to retry, and without a call to an endpoint.
func TestJobThatCannotFinishIsRefusedBeforeAnythingRuns(t *testing.T) {
	g := NewWithT(t)
	s := newStub(t, hang)
	r, j := fixture(t, "chat", rig.Engine("a", s.address))
	j.Deadline = time.Now().Add(20 * time.Millisecond) // the table gives 100 ms as the stage's expected time
	_, err := r.Runner.Run(t.Context(), j, nil)        // runs as a probe
	g.Expect(fault.From(err).Code.Class()).To(Equal(class.Unknown))
	calls := s.calls.Load()
	start := time.Now()
	j.Deadline = start.Add(80 * time.Millisecond)
	_, err = r.Runner.Run(t.Context(), j, nil)
	f := fault.From(err)
	g.Expect(f.Code).To(Equal(code.NoTime))
	g.Expect(f.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(time.Since(start)).To(BeNumerically("<", 40*time.Millisecond), "the job must be refused at once")
	g.Expect(s.calls.Load()).To(Equal(calls))
}

// Guards against engines that go on working for a caller that has left: the connection must
// be closed and the engine asked to stop.
func TestCallIsCancelledAtEngineWhenCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	s := newStub(t, hang)
	r, j := fixture(t, "chat", rig.Engine("a", s.address))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := r.Runner.Run(ctx, j, nil)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(s.disconnects.Load).Should(Equal(int64(1)))
	g.Eventually(s.cancelRequests.Load).Should(Equal(int64(1)))
}

// Guards against a stream that breaks when its engine leaves: it must be migrated before, and
// the next engine must import the KV cache that the leaving engine exported.
func TestStreamIsMigratedFromLeavingEngine(t *testing.T) {
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
	g.Expect(out.Output).To(Equal(fullOutput))
	g.Expect(c.outOfOrder).To(BeZero())
	g.Expect(leaving.calls.Load()).To(Equal(int64(2)), "want the stage call and the export")
	g.Expect(imported.Load()).To(Equal("kv-1"))
}

// Guards against a pipeline that stops early or loses the output of its last stage.
func TestPipelineRunsAllFourStages(t *testing.T) {
	g := NewWithT(t)
	pool, engine := newStub(t, answer), newStub(t, generate)
	r, j := fixture(t, "four",
		rig.Pool("e", pool.address, "encode"), rig.Pool("r", pool.address, "retrieve"),
		rig.Pool("k", pool.address, "rerank"), rig.Engine("g", engine.address))
	out, err := r.Runner.Run(t.Context(), j, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Output).To(Equal(fullOutput))
	g.Expect(out.Stages).To(HaveLen(4))
}
