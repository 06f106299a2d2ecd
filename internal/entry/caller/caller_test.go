package caller_test

// This file tests the callers' API with an engine and a worker that are stubs.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/entry/caller"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a server of the callers' API with one engine and one worker of a
// service behind it.
type fixture struct {
	*httptest.Server
	calls  atomic.Int64 // calls that the engine and the worker received, except those that end a stage
	engine http.HandlerFunc
	worker http.HandlerFunc
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{engine: generate, worker: echo}
	count := func(h *http.HandlerFunc) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/stages/") {
				return
			}
			f.calls.Add(1)
			(*h)(w, r)
		}))
		t.Cleanup(s.Close)
		return s
	}
	engine, worker := count(&f.engine), count(&f.worker)
	table := rig.Table(
		rig.Engine("engine", engine.Listener.Addr().String()),
		rig.Worker("worker", worker.Listener.Addr().String()),
	)
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	r, closeRig := rig.New(table, logr.Discard())
	t.Cleanup(closeRig)
	f.Server = httptest.NewServer(r.Caller)
	t.Cleanup(f.Close)
	return f
}

// generate is an engine that streams three tokens.
func generate(w http.ResponseWriter, r *http.Request) {
	id := identity(r)
	w.Header().Set("Content-Type", "text/event-stream")
	for i, text := range []string{"Tank", " 4 <é>", "\\n"} {
		fmt.Fprintf(w, `data: {%s,"index":%d,"text":"%s"}`+"\n\n", id, i, text)
	}
	fmt.Fprintf(w, `data: {%s,"done":true,"size":12,"tokens":3,"prompt":5,"reason":"stop"}`+"\n\n", id)
}

// generated is the text of the tokens of generate.
const generated = "Tank 4 <é>\n"

// identity returns the JSON fields by which an engine identifies the call that it
// answers.
func identity(r *http.Request) string {
	var c struct {
		Request, Stage string
		Attempt        int
	}
	json.NewDecoder(r.Body).Decode(&c)
	return fmt.Sprintf(`"request":%q,"stage":%q,"attempt":%d`, c.Request, c.Stage, c.Attempt)
}

// echo is a worker that returns the method, the URI and the body of its request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func (f *fixture) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string) {
	req, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+rig.Key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := f.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(data)
}

type badCase struct {
	Name, Method, Path, Body string
	Key                      *string // replaces the Authorization header; empty for none
	Header                   map[string]string
	Fill                     int // length of a generated body
	Code                     int
}

// TestBadRequestsGetTheirCodeAndReachNoEndpoint checks that each invalid request
// of testdata/bad.json is rejected with its result code, in the body and in the
// headers, before anything is sent to an endpoint.
func TestBadRequestsGetTheirCodeAndReachNoEndpoint(t *testing.T) {
	data, err := os.ReadFile("testdata/bad.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []badCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	f := newFixture(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := NewWithT(t)
			if c.Fill > 0 {
				c.Body = strings.Repeat("x", c.Fill)
			}
			if c.Key != nil {
				c.Header = map[string]string{"Authorization": *c.Key}
			}
			resp, body := f.send(t, c.Method, c.Path, c.Body, c.Header)
			var answer struct {
				Error struct {
					Message, Type, Class, Request string
					Code                          int
				}
			}
			g.Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed(), body)
			g.Expect(answer.Error.Code).To(Equal(c.Code), body)
			g.Expect(answer.Error.Class).To(Equal("not run"))
			g.Expect(answer.Error.Message).NotTo(BeEmpty())
			g.Expect(answer.Error.Request).To(Equal(resp.Header.Get(caller.HeaderRequest)))
			g.Expect(resp.Header.Get(caller.HeaderCode)).To(Equal(strconv.Itoa(c.Code)))
			g.Expect(resp.StatusCode).To(Equal(code.Code(c.Code).Status()))
		})
	}
	NewWithT(t).Expect(f.calls.Load()).To(BeZero(), "calls that reached an endpoint")
}

const chatBody = `{"model":"small-7b","max_completion_tokens":9,"temperature":0.2,"tools":[],
	"messages":[{"role":"system","content":"Short."},
	{"role":"user","content":[{"type":"text","text":"Why is tank"},{"type":"text","text":" 4 dull?"}]}]`

// TestChatResponseHasTheOpenAIFormat checks the fields of a chat response that
// clients of the OpenAI API read.
func TestChatResponseHasTheOpenAIFormat(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	resp, body := f.send(t, http.MethodPost, "/v1/chat/completions", chatBody+"}", nil)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
	var answer struct {
		ID, Object, Model string
		Created           int64
		Choices           []struct {
			Index        int
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			Prompt     int `json:"prompt_tokens"`
			Completion int `json:"completion_tokens"`
			Total      int `json:"total_tokens"`
		}
	}
	g.Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed())
	g.Expect(answer.Object).To(Equal("chat.completion"))
	g.Expect(answer.ID).NotTo(BeEmpty())
	g.Expect(answer.Created).NotTo(BeZero())
	g.Expect(answer.Choices).To(HaveLen(1))
	g.Expect(answer.Choices[0].Message.Role).To(Equal("assistant"))
	g.Expect(answer.Choices[0].Message.Content).To(Equal(generated))
	g.Expect(answer.Choices[0].FinishReason).To(Equal("stop"))
	g.Expect(answer.Usage.Total).To(Equal(8))
}

type chunk struct {
	Object  string
	Choices []struct {
		Delta        struct{ Role, Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		Total int `json:"total_tokens"`
	}
	Error *struct{ Code int }
}

// chunksOf parses a stream of events and reports whether it ended with [DONE].
func chunksOf(g *WithT, body string) (chunks []chunk, done bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		g.Expect(done).To(BeFalse(), "an event after [DONE]")
		if data == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		g.Expect(json.Unmarshal([]byte(data), &c)).To(Succeed(), data)
		chunks = append(chunks, c)
	}
	return chunks, done
}

// TestChatStreams checks the chunks of a streamed chat: the role in the first one
// only, the finish reason in the last one, then the usage and [DONE].
func TestChatStreams(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	resp, body := f.send(t, http.MethodPost, "/v1/chat/completions",
		chatBody+`,"stream":true,"stream_options":{"include_usage":true}}`, nil)
	g.Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
	chunks, done := chunksOf(g, body)
	g.Expect(done).To(BeTrue())
	g.Expect(chunks).To(HaveLen(5))
	var text bytes.Buffer
	for i, c := range chunks[:4] {
		g.Expect(c.Object).To(Equal("chat.completion.chunk"))
		g.Expect(c.Choices).To(HaveLen(1))
		g.Expect(c.Choices[0].Delta.Role == "assistant").To(Equal(i == 0))
		text.WriteString(c.Choices[0].Delta.Content)
	}
	g.Expect(text.String()).To(Equal(generated))
	g.Expect(*chunks[3].Choices[0].FinishReason).To(Equal("stop"))
	g.Expect(chunks[4].Choices).To(BeEmpty())
	g.Expect(chunks[4].Usage.Total).To(Equal(8))
}

// TestStreamThatFailsEndsWithAnErrorEvent breaks the engine's connection after the
// first token. The HTTP status has been sent by then, so the error must come as
// an event, without [DONE].
func TestStreamThatFailsEndsWithAnErrorEvent(t *testing.T) {
	f := newFixture(t)
	f.engine = func(w http.ResponseWriter, r *http.Request) {
		id := identity(r)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, `data: {%s,"index":0,"text":"Tank"}`+"\n\n", id)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for path, body := range map[string]string{
		"/v1/chat/completions": chatBody + `,"stream":true}`,
		"/v1/pipelines/chat":   `{"input":"x","stream":true}`,
	} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			resp, text := f.send(t, http.MethodPost, path, body, nil)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			chunks, done := chunksOf(g, text)
			g.Expect(done).To(BeFalse())
			g.Expect(chunks[len(chunks)-1].Error).NotTo(BeNil(), text)
			g.Expect(chunks[len(chunks)-1].Error.Code).To(Equal(int(code.StreamBroken)))
		})
	}
}

func TestPipelineStreamsTokensAndTheOutcome(t *testing.T) {
	g := NewWithT(t)
	_, text := newFixture(t).send(t, http.MethodPost, "/v1/pipelines/chat", `{"input":"x","stream":true}`, nil)
	g.Expect(text).To(ContainSubstring(`data: {"index":2,"text":"\n"}`))
	events := strings.Split(strings.TrimSpace(text), "\n\n")
	var last struct {
		Output string
		Stages []struct{ Name string }
	}
	g.Expect(json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last)).To(Succeed())
	g.Expect(last.Output).To(Equal(generated))
	g.Expect(last.Stages).To(HaveLen(1))
}

// TestServicesPassWhole checks that the method, the path with its query, the body
// and the response of a service call are passed on unchanged.
func TestServicesPassWhole(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct{ method, path, body string }{
		{http.MethodGet, "/status/7?full=1&x=%20", ""},
		{http.MethodPut, "/plan", "p"},
		{http.MethodPatch, "/plan", "p"},
		{http.MethodDelete, "/plan?id=1", ""},
		{http.MethodPost, "/book", "slot 4"},
	} {
		t.Run(c.method, func(t *testing.T) {
			g := NewWithT(t)
			resp, body := f.send(t, c.method, "/v1/services/orders"+c.path, c.body, nil)
			g.Expect(resp.StatusCode).To(Equal(http.StatusAccepted), body)
			g.Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain"))
			g.Expect(body).To(Equal(c.method + " " + c.path + " " + c.body))
		})
	}
}

// TestErrorOfTheServicePassesWholeWithItsCode checks that an error response of a
// service is passed on unchanged with the result code in the headers, and that a
// failed non-idempotent call is not retried.
func TestErrorOfTheServicePassesWholeWithItsCode(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.worker = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "the ledger is locked")
	}
	resp, body := f.send(t, http.MethodPost, "/v1/services/orders/book", "{}", nil)
	g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	g.Expect(body).To(Equal("the ledger is locked"))
	g.Expect(resp.Header.Get(caller.HeaderClass)).To(Equal("failed"))
	g.Expect(f.calls.Load()).To(Equal(int64(1)), "a non-idempotent call is sent once")
}

// TestModelsAndTickets checks the list of models, and that a call repeated with the
// same ticket gets the response of the first one and reaches the service once.
func TestModelsAndTickets(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, body := f.send(t, http.MethodGet, "/v1/models", "", nil)
	g.Expect(body).To(ContainSubstring(`"id":"small-7b"`))
	resp, body := f.send(t, http.MethodPost, "/v1/tickets", "", nil)
	g.Expect(resp.StatusCode).To(Equal(http.StatusCreated))
	var ticket struct{ Ticket string }
	g.Expect(json.Unmarshal([]byte(body), &ticket)).To(Succeed())
	header := map[string]string{caller.HeaderTicket: ticket.Ticket}
	for range 2 {
		_, body = f.send(t, http.MethodPost, "/v1/services/orders/reserve", "slot 4", header)
		g.Expect(body).To(Equal("POST /reserve slot 4"))
	}
	g.Expect(f.calls.Load()).To(Equal(int64(1)))
}
