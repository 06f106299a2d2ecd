package caller

// This file sends pipeline requests and chat completions.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/standin/output"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// expected computes the output of a pipeline whose stages are served by
// stand-ins. The token count overrides that of the stages if it is above 0.
func expected(request string, p *pipeline.Pipeline, input string, tokens int) string {
	prompt, out := input, ""
	for _, s := range p.Stages {
		switch {
		case s.Tokens == 0:
			out = output.Pool(request, s.Name, prompt)
		case tokens > 0:
			out = output.Text(request, s.Name, prompt, tokens)
		default:
			out = output.Text(request, s.Name, prompt, s.Tokens)
		}
		prompt = runner.ExtendPrompt(prompt, s.Name, out)
	}
	return out
}

// pipelineInput returns the pipeline input that the system makes of a chat.
func pipelineInput(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// Pipeline sends a pipeline request. The answer is streamed, or one JSON object.
func (c *Caller) Pipeline(ctx context.Context, base string, p *pipeline.Pipeline, input string, stream bool, deadline time.Duration) Outcome {
	body, _ := json.Marshal(map[string]any{"input": input, "stream": stream})
	e := expectation{pipeline: p, input: input, stream: stream, read: pipelineText}
	return c.send(ctx, base+"/v1/pipelines/"+p.Name, "pipeline", body, e, deadline)
}

// Chat sends a chat completion request. The pipeline p must be the one that the
// table assigns to the model.
func (c *Caller) Chat(ctx context.Context, base, model string, p *pipeline.Pipeline, messages []Message, stream bool, deadline time.Duration) Outcome {
	body, _ := json.Marshal(map[string]any{"model": model, "messages": messages, "stream": stream})
	e := expectation{pipeline: p, input: pipelineInput(messages), stream: stream, read: chatText}
	return c.send(ctx, base+"/v1/chat/completions", "chat", body, e, deadline)
}

// expectation holds what is needed to read and verify an answer. The function
// read returns the text of a response body or of one event, and whether that
// event is the last.
type expectation struct {
	pipeline *pipeline.Pipeline
	input    string
	stream   bool
	read     func(data []byte) (text string, last bool, err error)
}

func (c *Caller) send(ctx context.Context, url, kind string, body []byte, e expectation, deadline time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if e.stream {
		kind += "-stream"
	}
	o := Outcome{Kind: kind, Deadline: deadline}
	resp := c.begin(ctx, &o, http.MethodPost, url, "", body)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	if e.stream {
		e.readStream(resp.Body, &o)
	} else {
		e.readBody(resp.Body, &o)
	}
	return o
}

func (e expectation) readBody(body io.Reader, o *Outcome) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.end(Truncated, err.Error())
		return
	}
	text, _, err := e.read(data)
	if err != nil {
		o.end(Wrong, fmt.Sprintf("reading %q: %v", data, err))
		return
	}
	e.check(o, text)
}

func (e expectation) check(o *Outcome, text string) {
	o.Output = text
	if want := expected(o.RequestID, e.pipeline, e.input, 0); text != want {
		o.Partial = strings.HasPrefix(want, text)
		o.end(Wrong, fmt.Sprintf("got %q, want %q", text, want))
		return
	}
	o.end(Answered, "")
}

// readStream reads events up to the last one and completes the outcome. An error
// event is a regular end of a stream.
func (e expectation) readStream(body io.Reader, o *Outcome) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			o.refuse(http.StatusOK, data)
			return
		}
		piece, last, err := e.read(data)
		if err != nil {
			o.end(Wrong, fmt.Sprintf("reading %q: %v", data, err))
			return
		}
		if last {
			e.checkPieces(o, text.String(), piece)
			return
		}
		if piece != "" && text.Len() == 0 {
			o.FirstToken = time.Since(o.Start)
		}
		text.WriteString(piece)
	}
	detail := "the stream ended without its last event"
	if err := lines.Err(); err != nil {
		detail = err.Error()
	}
	o.end(Truncated, detail)
}

// checkPieces compares the pieces of a stream with the whole output, where the
// last event has one, and with the expected output.
func (e expectation) checkPieces(o *Outcome, pieces, whole string) {
	if whole != "" && whole != pieces {
		o.end(Wrong, fmt.Sprintf("got pieces %q, and as a whole %q", pieces, whole))
		return
	}
	e.check(o, pieces)
}

// pipelineText reads a response body or an event of a pipeline.
func pipelineText(data []byte) (text string, last bool, err error) {
	var e struct {
		Text   string
		Output *string
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return "", false, err
	}
	if e.Output != nil {
		return *e.Output, true, nil
	}
	return e.Text, false, nil
}

// chatText reads a chat completion or one chunk of a streamed one.
func chatText(data []byte) (text string, last bool, err error) {
	if string(data) == "[DONE]" {
		return "", true, nil
	}
	var e struct {
		Choices []struct{ Message, Delta Message }
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return "", false, err
	}
	if len(e.Choices) == 0 {
		return "", false, nil
	}
	return e.Choices[0].Message.Content + e.Choices[0].Delta.Content, false, nil
}
