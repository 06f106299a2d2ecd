package load

// This file sends one request and reads its answer.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	headerDeadline = "Jacinthstile-Deadline"
	headerTicket   = "Jacinthstile-Ticket"
	headerClass    = "Jacinthstile-Class"
	mostLine       = 8 << 20 // bytes
)

// Ends of a request.
const (
	whole   = "whole"
	notRun  = "not run"
	unknown = "unknown"
	failed  = "failed"
	lost    = "lost" // no answer, or one that is not whole and has no code
)

// outcome is what became of one request.
type outcome struct {
	end    string
	first  time.Time // the first token; zero where nothing streamed
	took   time.Duration
	wait   time.Duration // until the first token; zero where nothing streamed
	tokens int
	stages []stage
}

// stage is what the answer says of one stage.
type stage struct {
	Name     string        `json:"name"`
	Attempts int           `json:"attempts"`
	Took     time.Duration `json:"took"`
	Busy     time.Duration `json:"busy"`
}

type wireAnswer struct {
	Error *struct {
		Class string `json:"class"`
	} `json:"error"`
	Tokens int     `json:"tokens"`
	Stages []stage `json:"stages"`
	Usage  struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (l *Load) send(ctx context.Context, q query, deadline time.Time) outcome {
	var ticket string
	if q.Kind == Order {
		var o outcome
		if ticket, o = l.ticket(ctx, q, deadline); ticket == "" {
			return o
		}
	}
	method, path, body := q.parts()
	resp, err := l.post(ctx, q, method, path, body, ticket, deadline)
	if err != nil {
		return outcome{end: lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refused(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{end: lost}
	}
	if q.Kind == Call || q.Kind == Order {
		return outcome{end: whole}
	}
	var a wireAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return outcome{end: lost}
	}
	return outcome{end: whole, tokens: a.Tokens + a.Usage.Tokens, stages: a.Stages}
}

// parts returns the method, path and body of a request.
func (q query) parts() (method, path string, body []byte) {
	input := q.Input
	if input == 0 {
		input = defaultInput
	}
	text := fmt.Sprintf("%d %s", q.number, strings.Repeat("x", input))
	switch q.Kind {
	case Pipeline:
		return http.MethodPost, "/v1/pipelines/" + q.Name,
			encode(map[string]any{"input": text, "tokens": q.Tokens, "stream": q.Stream})
	case Chat:
		return http.MethodPost, "/v1/chat/completions", encode(map[string]any{
			"model": q.Name, "max_tokens": q.Tokens, "stream": q.Stream,
			"messages": []map[string]string{{"role": "user", "content": text}},
		})
	case Call:
		return or(q.Method, http.MethodGet), "/v1/services/" + q.Name + q.Path, nil
	case Order:
		return or(q.Method, http.MethodPost), "/v1/services/" + q.Name + q.Path, encode(map[string]int{"number": q.number})
	default:
		panic(fmt.Sprintf("load: got kind %q, want one that a checked plan holds", q.Kind))
	}
}

func or(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("load: encoding a request: %v", err))
	}
	return data
}

func (l *Load) post(ctx context.Context, q query, method, path string, body []byte, ticket string, deadline time.Time) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, q.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport would send some requests again by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	return l.client.Do(req)
}

func (l *Load) ticket(ctx context.Context, q query, deadline time.Time) (string, outcome) {
	resp, err := l.post(ctx, q, http.MethodPost, "/v1/tickets", nil, "", deadline)
	if err != nil {
		return "", outcome{end: lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return "", refused(resp)
	}
	var t struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
		return "", outcome{end: lost}
	}
	return t.Ticket, outcome{}
}

// refused returns the end of a request that was answered with an error status.
func refused(resp *http.Response) outcome {
	io.Copy(io.Discard, io.LimitReader(resp.Body, mostLine))
	return outcome{end: endOf(resp.Header.Get(headerClass))}
}

func endOf(class string) string {
	switch class {
	case notRun, unknown, failed:
		return class
	default:
		return lost
	}
}

// readStream reads events until [DONE] or the outcome of a pipeline.
func readStream(body io.Reader) outcome {
	var o outcome
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if o.first.IsZero() {
			o.first = time.Now()
		}
		if string(data) == "[DONE]" {
			o.end = whole
			continue
		}
		var a wireAnswer
		if err := json.Unmarshal(data, &a); err != nil {
			return outcome{end: lost}
		}
		switch {
		case a.Error != nil:
			o.end = endOf(a.Error.Class)
			return o
		case a.Stages != nil:
			o.end = whole
			o.stages = a.Stages
		default:
			o.tokens++
		}
	}
	if o.end == "" {
		o.end = lost
	}
	return o
}
