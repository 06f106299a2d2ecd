package client

// This file sends stage calls to pools and engines.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
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

const mostEvent = 1 << 20 // bytes

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
		Prompt: q.Prompt, From: q.From, Tokens: q.Tokens, Priority: q.Priority, Import: q.Import,
	})
	if err != nil {
		return call.Answer{}, failure.New(failure.Unsent, err, "encoding call")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/stages", header, body)
	if err != nil {
		return call.Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return call.Answer{}, refusal(resp)
	}
	r := &stageReader{call: q, sink: sink, next: q.From}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.stream(ctx, resp.Body)
	}
	return r.single(ctx, resp.Body)
}

// Cancel tells an endpoint that the answer of a call is of no more use.
// The endpoint's reply does not matter, so none is returned.
func (c *Client) Cancel(ctx context.Context, address string, q call.Call) {
	url := "http://" + address + "/v1/stages/" + q.Request + "/" + q.Stage + "/" + strconv.Itoa(q.Attempt)
	resp, err := c.send(ctx, http.MethodDelete, url, nil, nil)
	if err != nil {
		return
	}
	resp.Body.Close()
}

// stageReader checks each event of one call's answer.
type stageReader struct {
	call  call.Call
	sink  func(call.Token) error
	next  int // index of the token that must come next
	text  strings.Builder
	event wireEvent
}

func (r *stageReader) single(ctx context.Context, body io.Reader) (call.Answer, error) {
	data, err := io.ReadAll(io.LimitReader(body, mostAnswer))
	if err != nil {
		return call.Answer{}, r.cut(ctx, err)
	}
	if err := r.decode(data); err != nil {
		return call.Answer{}, err
	}
	r.text.WriteString(r.event.Text)
	return r.finish()
}

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
		if r.event.Done {
			return r.finish()
		}
		if err := r.token(ctx); err != nil {
			return call.Answer{}, err
		}
	}
	return call.Answer{}, r.cut(ctx, lines.Err())
}

func (r *stageReader) decode(data []byte) error {
	r.event = wireEvent{}
	if err := json.Unmarshal(data, &r.event); err != nil {
		return failure.New(failure.Lost, err, "decoding the answer")
	}
	e := &r.event
	if e.Request != r.call.Request || e.Stage != r.call.Stage || e.Attempt != r.call.Attempt {
		return failure.New(failure.Foreign, nil, "got answer of %s/%s/%d, want %s/%s/%d",
			e.Request, e.Stage, e.Attempt, r.call.Request, r.call.Stage, r.call.Attempt)
	}
	if e.Error != "" {
		return failure.New(failure.Errored, nil, "%s", e.Error)
	}
	return nil
}

// token accepts the next token. A repeated one is dropped; a gap ends the call.
func (r *stageReader) token(ctx context.Context) error {
	e := &r.event
	switch {
	case e.Index < r.next:
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
		Output: r.text.String(),
		Tokens: e.Tokens,
		Cached: e.Cached,
		Prompt: e.Prompt,
		Busy:   time.Duration(e.Busy) * time.Microsecond,
		Reason: e.Reason,
	}, nil
}

func (r *stageReader) cut(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return failure.New(failure.Late, context.Cause(ctx), "reading the answer")
	}
	return failure.New(failure.Lost, cause, "the answer ended before it was whole")
}
