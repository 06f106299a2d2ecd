package loadgen

// This file sends one request and reads its response.

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
	maxLineBytes   = 8 << 20 // bytes of a line of a stream, and of the body read after an error status
)

// Results of a request. The values of notRun, unknown and failed are the error classes of a response.
const (
	complete = "whole"
	notRun   = "not run"
	unknown  = "unknown"
	failed   = "failed"
	lost     = "lost" // no response, or an incomplete one without an error class
)

// outcome is the result of one request with its timing.
type outcome struct {
	result          string
	firstEvent      time.Time     // when the first event of the stream arrived; zero for a response without a stream
	elapsed         time.Duration // from the time at which the request was due
	firstEventDelay time.Duration // from then to the first event; zero for a response without a stream
	tokens          int           // generated tokens
	stages          []stage       // of a pipeline
}

// stage is the part of a response that describes one stage.
type stage struct {
	Name     string        `json:"name"`
	Attempts int           `json:"attempts"`
	Elapsed  time.Duration `json:"took"`
	BusyTime time.Duration `json:"busy"`
}

// responseBody is the body of a response, or the data of one event of a stream.
type responseBody struct {
	Error *struct {
		Class string `json:"class"`
	} `json:"error"`
	Tokens int     `json:"tokens"`
	Stages []stage `json:"stages"`
	Usage  struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// send sends one request, after a ticket for an order, and reads its response to the end. The deadline is sent along;
// ctx limits the time that send takes.
func (g *Generator) send(ctx context.Context, q requestToSend, deadline time.Time) outcome {
	var ticket string
	if q.Kind == Order {
		var o outcome
		if ticket, o = g.requestTicket(ctx, q, deadline); ticket == "" {
			return o
		}
	}
	method, path, body := q.httpRequest()
	resp, err := g.do(ctx, q, method, path, body, ticket, deadline)
	if err != nil {
		return outcome{result: lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refusedOutcome(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{result: lost}
	}
	if q.Kind == Call || q.Kind == Order {
		return outcome{result: complete}
	}
	var a responseBody
	if err := json.Unmarshal(data, &a); err != nil {
		return outcome{result: lost}
	}
	return outcome{result: complete, tokens: a.Tokens + a.Usage.Tokens, stages: a.Stages}
}

// httpRequest returns the method, path and body of a request.
func (q requestToSend) httpRequest() (method, path string, body []byte) {
	input := q.Input
	if input == 0 {
		input = defaultInputBytes
	}
	text := fmt.Sprintf("%d %s", q.number, strings.Repeat("x", input))
	switch q.Kind {
	case Pipeline:
		return http.MethodPost, "/v1/pipelines/" + q.Name,
			encodeJSON(map[string]any{"input": text, "tokens": q.Tokens, "stream": q.Stream})
	case Chat:
		return http.MethodPost, "/v1/chat/completions", encodeJSON(map[string]any{
			"model": q.Name, "max_tokens": q.Tokens, "stream": q.Stream,
			"messages": []map[string]string{{"role": "user", "content": text}},
		})
	case Call:
		return orDefault(q.Method, http.MethodGet), "/v1/services/" + q.Name + q.Path, nil
	case Order:
		return orDefault(q.Method, http.MethodPost), "/v1/services/" + q.Name + q.Path, encodeJSON(map[string]int{"number": q.number})
	default:
		panic(fmt.Sprintf("loadgen: got kind %q, want one that a checked plan holds", q.Kind))
	}
}

// orDefault returns text, or other if text is empty.
func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// encodeJSON returns v as JSON. It panics if v can't be encoded.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("loadgen: encoding a request: %v", err))
	}
	return data
}

// do sends an HTTP request with the headers of a caller. The ticket may be empty.
func (g *Generator) do(ctx context.Context, q requestToSend, method, path string, body []byte, ticket string, deadline time.Time) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, q.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody the transport retries some requests by itself; these would count as one.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	return g.client.Do(req)
}

// requestTicket gets a ticket for an order. If it gets none, it returns an empty ticket and the outcome of the request.
func (g *Generator) requestTicket(ctx context.Context, q requestToSend, deadline time.Time) (string, outcome) {
	resp, err := g.do(ctx, q, http.MethodPost, "/v1/tickets", nil, "", deadline)
	if err != nil {
		return "", outcome{result: lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return "", refusedOutcome(resp)
	}
	var t struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
		return "", outcome{result: lost}
	}
	return t.Ticket, outcome{}
}

// refusedOutcome returns the outcome of a request whose response has an error status.
func refusedOutcome(resp *http.Response) outcome {
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
	return outcome{result: resultOf(resp.Header.Get(headerClass))}
}

// resultOf returns the result of a request for the error class of its response.
func resultOf(class string) string {
	switch class {
	case notRun, unknown, failed:
		return class
	default:
		return lost
	}
}

// readStream reads a stream of events to its end. The stream is complete if it has the event [DONE] or, for a pipeline,
// an event with the stages; an event with an error ends the reading.
func readStream(body io.Reader) outcome {
	var o outcome
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if o.firstEvent.IsZero() {
			o.firstEvent = time.Now()
		}
		if string(data) == "[DONE]" {
			o.result = complete
			continue
		}
		var a responseBody
		if err := json.Unmarshal(data, &a); err != nil {
			return outcome{result: lost}
		}
		switch {
		case a.Error != nil:
			o.result = resultOf(a.Error.Class)
			return o
		case a.Stages != nil:
			o.result = complete
			o.stages = a.Stages
		default:
			o.tokens++
		}
	}
	if o.result == "" {
		o.result = lost
	}
	return o
}
