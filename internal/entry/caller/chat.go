package caller

// This file serves POST /v1/chat/completions and GET /v1/models in the format of
// the OpenAI API.

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// wireChat is the body of a chat request. Other fields of the API are ignored.
// Error texts that callers get can name this type and those of its fields.
type wireChat struct {
	Model               string      `json:"model"`
	Messages            []wireInput `json:"messages"`
	Stream              bool        `json:"stream"`
	Choices             int         `json:"n"`
	MaxTokens           int         `json:"max_tokens"`
	MaxCompletionTokens int         `json:"max_completion_tokens"` // the newer name of max_tokens in the API
	Options             struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type wireInput struct {
	Role    string      `json:"role"`
	Content wireContent `json:"content"`
}

// wireContent is the content of a message: in JSON a string, a list of text
// parts, or null.
type wireContent string

var _ json.Unmarshaler = (*wireContent)(nil)

// UnmarshalJSON decodes the content; it concatenates the parts of a list.
func (c *wireContent) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		if err := json.Unmarshal(data, (*string)(c)); err != nil {
			return fault.New(code.BadField, "content: got %s, want a string or a list of text parts", data)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fault.Wrap(code.BadField, err, "content: want a list of text parts")
	}
	var b strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return fault.New(code.BadField, "content[%d].type: got %q, want \"text\"", i, p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = wireContent(b.String())
	return nil
}

type wireUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type wireChoice struct {
	Index   int          `json:"index"`
	Message *wireMessage `json:"message,omitempty"`
	Delta   *wireDelta   `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, ar accountRequest) error {
	var body wireChat
	if err := s.decodeBody(w, r, &body); err != nil {
		return err
	}
	j, err := s.chatJob(r, ar, body)
	if err != nil {
		return err
	}
	release, err := s.limits.Acquire(r.Context(), ar.account, j.Deadline)
	if err != nil {
		return err
	}
	defer release()
	if body.Stream {
		return s.chatStream(w, r, ar, body, j)
	}
	out, err := s.runJob(r.Context(), ar.table, j, nil)
	if err != nil {
		return err
	}
	c := ar.completion(body.Model, "chat.completion")
	c.Choices[0].Message = &wireMessage{Role: "assistant", Content: out.Output}
	c.Choices[0].Finish = finishOf(out)
	c.Usage = usageOf(out)
	writeJSON(w, http.StatusOK, c)
	return nil
}

func (s *Server) chatJob(r *http.Request, ar accountRequest, body wireChat) (pipelinejob.Job, error) {
	m := ar.table.Model(body.Model)
	if m == nil || m.Pipeline == "" {
		return pipelinejob.Job{}, fault.New(code.UnknownModel, "got %q", body.Model)
	}
	if err := body.check(); err != nil {
		return pipelinejob.Job{}, err
	}
	p := ar.table.Pipeline(m.Pipeline)
	deadline, err := s.deadline(ar, r, p.Deadline.Duration())
	if err != nil {
		return pipelinejob.Job{}, err
	}
	return pipelinejob.Job{
		ID: ar.id, Account: ar.account.Name, Pipeline: p, Model: m.Name,
		Input: flatten(body.Messages), MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens), Deadline: deadline,
	}, nil
}

func (c wireChat) check() error {
	switch {
	case len(c.Messages) == 0:
		return fault.New(code.BadField, "messages: got none, want 1 or more")
	case c.MaxTokens < 0:
		return fault.New(code.BadField, "max_tokens: got %d, want 0 or more", c.MaxTokens)
	case c.MaxCompletionTokens < 0:
		return fault.New(code.BadField, "max_completion_tokens: got %d, want 0 or more", c.MaxCompletionTokens)
	case c.Choices > 1:
		return fault.New(code.BadField, "n: got %d, want 1", c.Choices)
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return fault.New(code.BadField, "messages[%d].role: got nothing, want a role", i)
		}
	}
	return nil
}

// flatten returns a conversation as text. Messages that are added later only
// append to the text, so that engines can reuse the cached prefix of earlier
// requests.
func flatten(messages []wireInput) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String()
}

func (s *Server) chatStream(w http.ResponseWriter, r *http.Request, ar accountRequest, body wireChat, j pipelinejob.Job) error {
	stream := newEventStream(w, j.Deadline)
	defer stream.close()
	first, next := ar.chunkPrefixes(body.Model)
	out, err := s.runJob(r.Context(), ar.table, j, func(t stagecall.Token) error {
		if t.Index == 0 {
			return stream.sendText(first, t.Text, chunkSuffix)
		}
		return stream.sendText(next, t.Text, chunkSuffix)
	})
	if err != nil {
		return stream.fail(ar.id, err)
	}
	s.sendChatEnd(stream, ar, body, out)
	return nil
}

// sendChatEnd sends the events after the last token. It ignores write errors, since
// they mean that the caller has disconnected.
func (s *Server) sendChatEnd(stream *eventStream, ar accountRequest, body wireChat, out pipelinejob.Response) {
	last := ar.completion(body.Model, chunkObject)
	last.Choices[0].Delta = &wireDelta{}
	last.Choices[0].Finish = finishOf(out)
	if err := stream.send(last); err != nil {
		return
	}
	if body.Options.Usage {
		usage := ar.completion(body.Model, chunkObject)
		usage.Choices = []wireChoice{}
		usage.Usage = usageOf(out)
		if err := stream.send(usage); err != nil {
			return
		}
	}
	stream.sendRaw([]byte("[DONE]"))
}

const (
	chunkObject = "chat.completion.chunk"
	chunkSuffix = `},"finish_reason":null}]}`
)

// chunkPrefixes returns the JSON that precedes the text in the first chunk and in
// the later chunks of a stream, so that only the text of each token must be
// encoded.
func (ar accountRequest) chunkPrefixes(model string) (first, next []byte) {
	c := ar.completion(model, chunkObject)
	c.Choices = nil
	data, err := json.Marshal(c)
	if err != nil {
		panic("caller: encoding a chunk: " + err.Error())
	}
	base := bytes.TrimSuffix(data, []byte(`"choices":null}`))
	first = append(bytes.Clone(base), `"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	next = append(bytes.Clone(base), `"choices":[{"index":0,"delta":{"content":`...)
	return first, next
}

// finishOf returns the finish_reason of a chat response, "stop" where the engine
// gave none.
func finishOf(out pipelinejob.Response) *string {
	reason := out.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func (ar accountRequest) completion(model, object string) wireCompletion {
	return wireCompletion{
		ID: "chatcmpl-" + ar.id, Object: object, Created: ar.start.Unix(), Model: model,
		Choices: []wireChoice{{}},
	}
}

func usageOf(out pipelinejob.Response) *wireUsage {
	return &wireUsage{Prompt: out.PromptTokens, Completion: out.GeneratedTokens, Total: out.PromptTokens + out.GeneratedTokens}
}

type wireModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, ar accountRequest) error {
	list := wireModels{Object: "list", Data: []wireModel{}}
	for _, m := range ar.table.Models {
		if m.Pipeline != "" {
			list.Data = append(list.Data, wireModel{ID: m.Name, Object: "model", Owner: "jacinthstile"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
