package caller

// This file makes requests that pass through a pipeline, and chats.

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
	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// expected works out the output that a request must get.
func expected(request string, p *pipeline.Pipeline, input string, tokens int) string {
	prompt, out := input, ""
	for _, s := range p.Stages {
		switch {
		case s.Tokens == 0:
			out = answer.Pool(request, s.Name, prompt)
		case tokens > 0:
			out = answer.Text(request, s.Name, prompt, tokens)
		default:
			out = answer.Text(request, s.Name, prompt, s.Tokens)
		}
		prompt = runner.ExtendPrompt(prompt, s.Name, out)
	}
	return out
}

// flat writes a chat as the pipeline's input.
func flat(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// Pipeline sends a request through a pipeline, with a streamed answer or a JSON one.
func (c *Caller) Pipeline(ctx context.Context, base string, p *pipeline.Pipeline, input string, stream bool, deadline time.Duration) Outcome {
	body, _ := json.Marshal(map[string]any{"input": input, "stream": stream})
	q := question{pipeline: p, input: input, stream: stream, read: pipelineText}
	return c.ask(ctx, base+"/v1/pipelines/"+p.Name, "pipeline", body, q, deadline)
}

// Chat sends a chat completion. The pipeline is the one that the table names for the model.
func (c *Caller) Chat(ctx context.Context, base, model string, p *pipeline.Pipeline, messages []Message, stream bool, deadline time.Duration) Outcome {
	body, _ := json.Marshal(map[string]any{"model": model, "messages": messages, "stream": stream})
	q := question{pipeline: p, input: flat(messages), stream: stream, read: chatText}
	return c.ask(ctx, base+"/v1/chat/completions", "chat", body, q, deadline)
}

// question is what the answer is compared with.
type question struct {
	pipeline *pipeline.Pipeline
	input    string
	stream   bool
	read     func(data []byte) (text string, last bool, err error)
}

func (c *Caller) ask(ctx context.Context, url, kind string, body []byte, q question, deadline time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if q.stream {
		kind += "-stream"
	}
	o := Outcome{Kind: kind, Deadline: deadline}
	resp := c.begin(ctx, &o, http.MethodPost, url, "", body)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	if q.stream {
		q.follow(resp.Body, &o)
	} else {
		q.whole(resp.Body, &o)
	}
	return o
}

func (q question) whole(body io.Reader, o *Outcome) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.end(Cut, err.Error())
		return
	}
	text, _, err := q.read(data)
	if err != nil {
		o.end(Wrong, fmt.Sprintf("reading %q: %v", data, err))
		return
	}
	q.judge(o, text)
}

func (q question) judge(o *Outcome, text string) {
	o.Output = text
	if want := expected(o.Request, q.pipeline, q.input, 0); text != want {
		o.Partial = strings.HasPrefix(want, text)
		o.end(Wrong, fmt.Sprintf("got %q, want %q", text, want))
		return
	}
	o.end(Answered, "")
}

// follow reads events until the last one. An error event ends the stream well.
func (q question) follow(body io.Reader, o *Outcome) {
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
		piece, last, err := q.read(data)
		if err != nil {
			o.end(Wrong, fmt.Sprintf("reading %q: %v", data, err))
			return
		}
		if last {
			q.close(o, text.String(), piece)
			return
		}
		if piece != "" && text.Len() == 0 {
			o.First = time.Since(o.Start)
		}
		text.WriteString(piece)
	}
	detail := "the stream ended without its last event"
	if err := lines.Err(); err != nil {
		detail = err.Error()
	}
	o.end(Cut, detail)
}

// close compares the pieces of a stream with the whole, and both with what must come.
func (q question) close(o *Outcome, pieces, whole string) {
	if whole != "" && whole != pieces {
		o.end(Wrong, fmt.Sprintf("got pieces %q, and as a whole %q", pieces, whole))
		return
	}
	q.judge(o, pieces)
}

// pipelineText reads an answer or an event of a pipeline.
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

// chatText reads a chat completion or a chunk of one.
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
