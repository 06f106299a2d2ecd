package caller

// This file answers POST /v1/chat/completions and GET /v1/models in the shape
// that chat clients of the field speak.

import (
	"net/http"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
	"github.com/jacinthstile/jacinthstile/internal/flow/job"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireChat struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type wireUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type wireChoice struct {
	Index   int          `json:"index"`
	Message *wireMessage `json:"message,omitempty"`
	Delta   *wireMessage `json:"delta,omitempty"`
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

func (s *Server) chat(w http.ResponseWriter, r *http.Request, v visit) error {
	var body wireChat
	if err := s.decode(w, r, &body); err != nil {
		return err
	}
	j, err := s.chatJob(r, v, body)
	if err != nil {
		return err
	}
	give, err := s.limits.Take(r.Context(), v.account, j.Deadline)
	if err != nil {
		return err
	}
	defer give()
	if body.Stream {
		return s.chatStream(w, r, v, body, j)
	}
	out, err := s.runner.Run(r.Context(), j, nil)
	if err != nil {
		return err
	}
	c := v.completion(body.Model, "chat.completion")
	c.Choices[0].Message = &wireMessage{Role: "assistant", Content: out.Output}
	c.Choices[0].Finish = &out.Reason
	c.Usage = usageOf(out)
	writeJSON(w, http.StatusOK, c)
	return nil
}

func (s *Server) chatJob(r *http.Request, v visit, body wireChat) (job.Job, error) {
	m := v.table.Model(body.Model)
	if m == nil || m.Pipeline == "" {
		return job.Job{}, fault.New(code.UnknownModel, "got %q", body.Model)
	}
	if len(body.Messages) == 0 {
		return job.Job{}, fault.New(code.BadField, "messages: got none, want 1 or more")
	}
	if body.MaxTokens < 0 {
		return job.Job{}, fault.New(code.BadField, "max_tokens: got %d, want 0 or more", body.MaxTokens)
	}
	p := v.table.Pipeline(m.Pipeline)
	deadline, err := v.deadline(r, p.Deadline.Duration())
	if err != nil {
		return job.Job{}, err
	}
	return job.Job{
		ID: v.id, Account: v.account.Name, Pipeline: p, Model: m.Name,
		Input: flatten(body.Messages), Tokens: body.MaxTokens, Deadline: deadline,
	}, nil
}

// flatten writes a conversation as text whose start does not change as it grows.
func flatten(messages []wireMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (s *Server) chatStream(w http.ResponseWriter, r *http.Request, v visit, body wireChat, j job.Job) error {
	stream := &events{w: w}
	out, err := s.runner.Run(r.Context(), j, func(t call.Token) error {
		c := v.completion(body.Model, "chat.completion.chunk")
		c.Choices[0].Delta = &wireMessage{Content: t.Text}
		if t.Index == 0 {
			c.Choices[0].Delta.Role = "assistant"
		}
		return stream.send(c)
	})
	if err != nil {
		return stream.end(v.id, err)
	}
	last := v.completion(body.Model, "chat.completion.chunk")
	last.Choices[0].Delta = &wireMessage{}
	last.Choices[0].Finish = &out.Reason
	if err := stream.send(last); err != nil {
		return nil
	}
	if body.Options.Usage {
		usage := v.completion(body.Model, "chat.completion.chunk")
		usage.Choices = []wireChoice{}
		usage.Usage = usageOf(out)
		if err := stream.send(usage); err != nil {
			return nil
		}
	}
	stream.raw([]byte("[DONE]"))
	return nil
}

func (v visit) completion(model, object string) wireCompletion {
	return wireCompletion{
		ID: "chatcmpl-" + v.id, Object: object, Created: v.start.Unix(), Model: model,
		Choices: []wireChoice{{}},
	}
}

func usageOf(out job.Outcome) *wireUsage {
	return &wireUsage{Prompt: out.Prompt, Completion: out.Tokens, Total: out.Prompt + out.Tokens}
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

func (s *Server) models(w http.ResponseWriter, _ *http.Request, v visit) error {
	list := wireModels{Object: "list", Data: []wireModel{}}
	for _, m := range v.table.Models {
		if m.Pipeline != "" {
			list.Data = append(list.Data, wireModel{ID: m.Name, Object: "model", Owner: "jacinthstile"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
