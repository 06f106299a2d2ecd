package caller

// This file answers POST /v1/pipelines/{name}.

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

type wireJob struct {
	Input  string `json:"input"`
	Tokens int    `json:"tokens"`
	Stream bool   `json:"stream"`
}

type wireOutcome struct {
	Request string                   `json:"request"`
	Output  string                   `json:"output"`
	Reason  string                   `json:"reason"`
	Tokens  int                      `json:"tokens"`
	Stages  []pipelinejob.StageStats `json:"stages"`
}

func (s *Server) pipeline(w http.ResponseWriter, r *http.Request, v visit) error {
	name := chi.URLParam(r, "name")
	p := v.table.Pipeline(name)
	if p == nil {
		return fault.New(code.UnknownPipeline, "got %q", name)
	}
	var body wireJob
	if err := s.decode(w, r, &body); err != nil {
		return err
	}
	if body.Input == "" {
		return fault.New(code.BadField, "input: got nothing, want text")
	}
	if body.Tokens < 0 {
		return fault.New(code.BadField, "tokens: got %d, want 0 or more", body.Tokens)
	}
	deadline, err := v.deadline(r, p.Deadline.Duration())
	if err != nil {
		return err
	}
	give, err := s.limits.Acquire(r.Context(), v.account, deadline)
	if err != nil {
		return err
	}
	defer give()
	j := pipelinejob.Job{
		ID: v.id, Account: v.account.Name, Pipeline: p,
		Input: body.Input, MaxTokens: body.Tokens, Deadline: deadline,
	}
	if !body.Stream {
		out, err := s.run(r.Context(), v.table, j, nil)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, outcomeOf(v.id, out))
		return nil
	}
	return s.pipelineStream(w, r, v, j)
}

// pipelineStream sends each token as {"index":N,"text":"…"}, and the outcome last.
func (s *Server) pipelineStream(w http.ResponseWriter, r *http.Request, v visit, j pipelinejob.Job) error {
	stream := newEvents(w, j.Deadline)
	defer stream.close()
	var head []byte
	out, err := s.run(r.Context(), v.table, j, func(t stagecall.Token) error {
		head = append(head[:0], `{"index":`...)
		head = strconv.AppendInt(head, int64(t.Index), 10)
		head = append(head, `,"text":`...)
		return stream.text(head, t.Text, "}")
	})
	if err != nil {
		return stream.end(v.id, err)
	}
	stream.send(outcomeOf(v.id, out))
	return nil
}

func outcomeOf(id string, out pipelinejob.Response) wireOutcome {
	return wireOutcome{
		Request: id, Output: out.Output, Reason: out.FinishReason, Tokens: out.GeneratedTokens, Stages: out.Stages,
	}
}
