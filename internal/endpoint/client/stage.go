package client

// This file sends stage calls to pools and engines.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

type wireCall struct {
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadline"` // milliseconds left
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Prompt   string `json:"prompt"`
	From     int    `json:"from,omitempty"`
	Partial  string `json:"partial,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Import   string `json:"import,omitempty"`
}

// wireEvent is a pool's answer, a token of an engine's stream, or the stream's end.
type wireEvent struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Size    int    `json:"size"` // bytes of the whole output that this call produced
	Tokens  int    `json:"tokens"`
	Cached  int    `json:"cached"`
	Prompt  int    `json:"prompt"`
	Busy    int64  `json:"busy"` // microseconds
	Reason  string `json:"reason"`
	Error   string `json:"error"`
}

const (
	mostEvent     = 1 << 20         // bytes
	mostRest      = 4 << 10         // bytes read after the last event, to keep the connection
	lingerTimeout = 5 * time.Second // longest wait for the end of the body after the last event
)

// Do sends one stage call and returns the whole answer. Each token of an
// engine's stream is passed to sink in order, without gaps and without
// repeats; sink may be nil. An error of type *failure.Failure tells what is
// known of the execution. An error of sink ends the call.
func (c *Client) Do(ctx context.Context, address string, q call.Call, sink func(call.Token) error) (call.Answer, error) {
	left := time.Until(q.Deadline)
	if left <= 0 {
		return call.Answer{}, failure.New(failure.Unsent, nil, "deadline passed %v ago", -left)
	}
	body, err := json.Marshal(wireCall{
		Request: q.Request, Stage: q.Stage, Attempt: q.Attempt,
		Deadline: max(1, left.Milliseconds()), Model: q.Model, Adapter: q.Adapter,
		Prompt: q.Prompt, From: q.From, Partial: q.Partial, Tokens: q.Tokens, Priority: q.Priority, Import: q.Import,
	})
	if err != nil {
		return call.Answer{}, failure.New(failure.Unsent, err, "encoding call")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	ctx, release, cancel := detach(ctx)
	resp, err := c.send(ctx, request{
		method: http.MethodPost, url: "http://" + address + "/v1/stages", header: header, body: body,
		once: q.Once, check: before(q.Deadline, q.Check),
	})
	if err != nil {
		cancel()
		return call.Answer{}, err
	}
	answer, err := readAnswer(ctx, resp, q, sink)
	if err != nil {
		cancel()
		resp.Body.Close()
		return call.Answer{}, err
	}
	release()
	c.recycle(resp.Body, cancel)
	return answer, nil
}

func readAnswer(ctx context.Context, resp *http.Response, q call.Call, sink func(call.Token) error) (call.Answer, error) {
	if got := resp.Header.Get(HeaderRequest); got != "" && got != q.Request {
		return call.Answer{}, failure.New(failure.Foreign, nil, "got answer of %q, want %q", got, q.Request)
	}
	if resp.StatusCode != http.StatusOK {
		return call.Answer{}, refusal(resp)
	}
	r := &stageReader{call: q, head: headOf(q), sink: sink, next: q.From}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.stream(ctx, resp.Body)
	}
	return r.single(ctx, resp.Body)
}

// detach returns a context that ends with ctx until release is called, and with cancel.
func detach(ctx context.Context) (_ context.Context, release, cancel func()) {
	inner, end := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { end(context.Cause(ctx)) })
	release = func() { stop() }
	cancel = func() {
		stop()
		end(nil)
	}
	return inner, release, cancel
}

// recycle reads the body to its end in the background, so that the connection
// can carry the next call. The answer is whole already.
func (c *Client) recycle(body io.ReadCloser, cancel func()) {
	begun := c.begin(func() {
		defer cancel()
		timer := time.AfterFunc(lingerTimeout, cancel)
		defer timer.Stop()
		io.CopyN(io.Discard, body, mostRest)
		body.Close()
	})
	if !begun {
		cancel()
		body.Close()
	}
}

// stageReader checks each event of one call's answer.
type stageReader struct {
	call    call.Call
	head    []byte // see headOf
	sink    func(call.Token) error
	next    int // index of the token that must come next
	dropped int
	text    strings.Builder
	event   wireEvent
}

func (r *stageReader) single(ctx context.Context, body io.Reader) (call.Answer, error) {
	data, err := io.ReadAll(io.LimitReader(body, mostAnswer))
	if err != nil {
		return call.Answer{}, r.cut(ctx, err)
	}
	if err := r.decode(data); err != nil {
		return call.Answer{}, err
	}
	if !r.isOwn() {
		return call.Answer{}, r.foreign()
	}
	if r.event.Error != "" {
		return call.Answer{}, failure.New(failure.Errored, nil, "%s", r.event.Error)
	}
	r.text.WriteString(r.event.Text)
	return r.finish()
}

// stream reads events until the last one. Events of other calls are dropped:
// the tokens of this call still have to follow each other without a gap.
func (r *stageReader) stream(ctx context.Context, body io.Reader) (call.Answer, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if err := r.decode(data); err != nil {
			return call.Answer{}, err
		}
		switch {
		case !r.isOwn():
			r.dropped++
			continue
		case r.event.Error != "":
			return call.Answer{}, failure.New(failure.Errored, nil, "%s", r.event.Error)
		case r.event.Done:
			return r.finish()
		}
		if err := r.token(ctx); err != nil {
			return call.Answer{}, err
		}
	}
	if r.dropped > 0 && r.next == r.call.From {
		return call.Answer{}, r.foreign()
	}
	return call.Answer{}, r.cut(ctx, lines.Err())
}

func (r *stageReader) decode(data []byte) error {
	if r.quick(data) {
		return nil
	}
	r.event = wireEvent{}
	if err := json.Unmarshal(data, &r.event); err != nil {
		return failure.New(failure.Lost, err, "decoding the answer")
	}
	return nil
}

func (r *stageReader) isOwn() bool {
	e := &r.event
	return e.Request == r.call.Request && e.Stage == r.call.Stage && e.Attempt == r.call.Attempt
}

func (r *stageReader) foreign() error {
	e := &r.event
	return failure.New(failure.Foreign, nil, "got answer of %s/%s/%d, want %s/%s/%d",
		e.Request, e.Stage, e.Attempt, r.call.Request, r.call.Stage, r.call.Attempt)
}

// token accepts the next token. A repeated one is dropped; a gap ends the call.
func (r *stageReader) token(ctx context.Context) error {
	e := &r.event
	switch {
	case e.Index < r.next:
		r.dropped++
		return nil
	case e.Index > r.next:
		return failure.New(failure.Lost, nil, "got token %d, want %d", e.Index, r.next)
	}
	if ctx.Err() != nil {
		return failure.New(failure.Late, context.Cause(ctx), "at token %d", e.Index)
	}
	r.next++
	r.text.WriteString(e.Text)
	if r.sink == nil {
		return nil
	}
	return r.sink(call.Token{Index: e.Index, Text: e.Text})
}

func (r *stageReader) finish() (call.Answer, error) {
	e := &r.event
	if got := r.text.Len(); !e.Done || got != e.Size {
		return call.Answer{}, failure.New(failure.Lost, nil, "got %d bytes, want %d", got, e.Size)
	}
	return call.Answer{
		Output:  r.text.String(),
		Tokens:  e.Tokens,
		Cached:  e.Cached,
		Prompt:  e.Prompt,
		Busy:    time.Duration(e.Busy) * time.Microsecond,
		Reason:  e.Reason,
		Dropped: r.dropped,
	}, nil
}

func (r *stageReader) cut(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return failure.New(failure.Late, context.Cause(ctx), "reading the answer")
	}
	return failure.New(failure.Lost, cause, "the answer ended before it was whole")
}
