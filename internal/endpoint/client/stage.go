package client

// This file sends stage calls to pools and engines and reads their responses.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

type wireCall struct {
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadline"` // milliseconds until the deadline
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Prompt   string `json:"prompt"`
	From     int    `json:"from,omitempty"`
	Partial  string `json:"partial,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Import   string `json:"import,omitempty"`
}

// wireEvent is the response of a pool, or one token or the end of an engine's
// stream.
type wireEvent struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Size    int    `json:"size"` // bytes of the whole output of this call
	Tokens  int    `json:"tokens"`
	Cached  int    `json:"cached"`
	Prompt  int    `json:"prompt"`
	Busy    int64  `json:"busy"` // microseconds
	Reason  string `json:"reason"`
	Error   string `json:"error"`
}

const (
	maxEvent     = 1 << 20         // bytes of one line of a stream
	maxDrain     = 4 << 10         // bytes read after the last event, so that the connection can be reused
	drainTimeout = 5 * time.Second // longest wait for the end of the body after the last event
)

// CallStage sends one stage call and returns the complete response. Each token of an
// engine's stream is passed to sink in order, without gaps and without repeats;
// sink may be nil. An error of sink cancels the call and is returned. Any other
// error is a *failure.Failure, which tells what is known about the execution.
func (c *Client) CallStage(ctx context.Context, address string, call stagecall.Call, sink func(stagecall.Token) error) (stagecall.Response, error) {
	left := time.Until(call.Deadline)
	if left <= 0 {
		return stagecall.Response{}, failure.New(failure.Unsent, nil, "deadline passed %v ago", -left)
	}
	body, err := json.Marshal(wireCall{
		Request: call.RequestID, Stage: call.Stage, Attempt: call.Attempt,
		Deadline: max(1, left.Milliseconds()), Model: call.Model, Adapter: call.Adapter,
		Prompt: call.Prompt, From: call.StartIndex, Partial: call.PartialOutput, Tokens: call.MaxTokens, Priority: call.Priority, Import: call.KVHandle,
	})
	if err != nil {
		return stagecall.Response{}, failure.New(failure.Unsent, err, "encoding call")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	ctx, release, cancel := detach(ctx)
	resp, err := c.send(ctx, request{
		method: http.MethodPost, url: "http://" + address + "/v1/stages", header: header, body: body,
		once: call.NonIdempotent, check: checkBefore(call.Deadline, call.BeforeSend),
	})
	if err != nil {
		cancel()
		return stagecall.Response{}, err
	}
	response, err := readResponse(ctx, resp, call, sink)
	if err != nil {
		cancel()
		resp.Body.Close()
		return stagecall.Response{}, err
	}
	release()
	c.drain(resp.Body, cancel)
	return response, nil
}

func readResponse(ctx context.Context, resp *http.Response, call stagecall.Call, sink func(stagecall.Token) error) (stagecall.Response, error) {
	if got := resp.Header.Get(HeaderRequest); got != "" && got != call.RequestID {
		return stagecall.Response{}, failure.New(failure.Foreign, nil, "got answer of %q, want %q", got, call.RequestID)
	}
	if resp.StatusCode != http.StatusOK {
		return stagecall.Response{}, errorFromResponse(resp)
	}
	r := &stageReader{call: call, tokenPrefix: tokenPrefixOf(call), sink: sink, next: call.StartIndex}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.readStream(ctx, resp.Body)
	}
	return r.readSingle(ctx, resp.Body)
}

// detach returns a context that ends when ctx ends or cancel is called. After
// release it no longer ends with ctx, so that the connection of a complete
// response survives the end of ctx and can be reused.
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

// drain reads a body to its end in the background, so that its connection can
// be reused. The response is already complete.
func (c *Client) drain(body io.ReadCloser, cancel func()) {
	started := c.goBackground(func() {
		defer cancel()
		timer := time.AfterFunc(drainTimeout, cancel)
		defer timer.Stop()
		io.CopyN(io.Discard, body, maxDrain)
		body.Close()
	})
	if !started {
		cancel()
		body.Close()
	}
}

// stageReader reads the response to one call and checks each event of it.
type stageReader struct {
	call        stagecall.Call
	tokenPrefix []byte // usual beginning of a token event, see tokenPrefixOf
	sink        func(stagecall.Token) error
	next        int // index of the token that must follow
	dropped     int
	text        strings.Builder
	event       wireEvent
}

// readSingle reads the response of a pool, one JSON object.
func (r *stageReader) readSingle(ctx context.Context, body io.Reader) (stagecall.Response, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponse))
	if err != nil {
		return stagecall.Response{}, r.truncated(ctx, err)
	}
	if err := r.decode(data); err != nil {
		return stagecall.Response{}, err
	}
	if !r.isOwn() {
		return stagecall.Response{}, r.foreignResponse()
	}
	if r.event.Error != "" {
		return stagecall.Response{}, failure.New(failure.Errored, nil, "%s", r.event.Error)
	}
	r.text.WriteString(r.event.Text)
	return r.finish()
}

// readStream reads events up to the last one. It ignores events of other calls; the
// tokens of this call must still follow each other without a gap.
func (r *stageReader) readStream(ctx context.Context, body io.Reader) (stagecall.Response, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if err := r.decode(data); err != nil {
			return stagecall.Response{}, err
		}
		switch {
		case !r.isOwn():
			r.dropped++
			continue
		case r.event.Error != "":
			return stagecall.Response{}, failure.New(failure.Errored, nil, "%s", r.event.Error)
		case r.event.Done:
			return r.finish()
		}
		if err := r.acceptToken(ctx); err != nil {
			return stagecall.Response{}, err
		}
	}
	if r.dropped > 0 && r.next == r.call.StartIndex {
		return stagecall.Response{}, r.foreignResponse()
	}
	return stagecall.Response{}, r.truncated(ctx, lines.Err())
}

func (r *stageReader) decode(data []byte) error {
	if r.decodeToken(data) {
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
	return e.Request == r.call.RequestID && e.Stage == r.call.Stage && e.Attempt == r.call.Attempt
}

func (r *stageReader) foreignResponse() error {
	e := &r.event
	return failure.New(failure.Foreign, nil, "got answer of %s/%s/%d, want %s/%s/%d",
		e.Request, e.Stage, e.Attempt, r.call.RequestID, r.call.Stage, r.call.Attempt)
}

// acceptToken passes the current event's token to the sink. A repeated token is ignored,
// and a gap is a failure.
func (r *stageReader) acceptToken(ctx context.Context) error {
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
	return r.sink(stagecall.Token{Index: e.Index, Text: e.Text})
}

// finish returns the response, or a failure if the received output is shorter or
// longer than the endpoint says.
func (r *stageReader) finish() (stagecall.Response, error) {
	e := &r.event
	if got := r.text.Len(); !e.Done || got != e.Size {
		return stagecall.Response{}, failure.New(failure.Lost, nil, "got %d bytes, want %d", got, e.Size)
	}
	return stagecall.Response{
		Output:          r.text.String(),
		GeneratedTokens: e.Tokens,
		CachedTokens:    e.Cached,
		PromptTokens:    e.Prompt,
		BusyTime:        time.Duration(e.Busy) * time.Microsecond,
		FinishReason:    e.Reason,
		DroppedEvents:   r.dropped,
	}, nil
}

// truncated returns the failure for a response that ended early.
func (r *stageReader) truncated(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return failure.New(failure.Late, context.Cause(ctx), "reading the answer")
	}
	return failure.New(failure.Lost, cause, "the answer ended before it was whole")
}
