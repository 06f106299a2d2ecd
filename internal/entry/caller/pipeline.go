package caller

// This file serves POST /v1/pipelines/{name}.

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// wireJob is the body of a pipeline request. Error texts that callers get can
// name this type.
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

func (s *Server) pipeline(w http.ResponseWriter, r *http.Request, ar accountRequest) error {
	name := chi.URLParam(r, "name")
	p := ar.table.Pipeline(name)
	if p == nil {
		return fault.New(code.UnknownPipeline, "got %q", name)
	}
	var body wireJob
	if err := s.decodeBody(w, r, &body); err != nil {
		return err
	}
	if body.Input == "" {
		return fault.New(code.BadField, "input: got nothing, want text")
	}
	if body.Tokens < 0 {
		return fault.New(code.BadField, "tokens: got %d, want 0 or more", body.Tokens)
	}
	deadline, err := s.deadline(ar, r, p.Deadline.Duration())
	if err != nil {
		return err
	}
	release, err := s.limits.Acquire(r.Context(), ar.account, deadline)
	if err != nil {
		return err
	}
	defer release()
	j := pipelinejob.Job{
		ID: ar.id, Account: ar.account.Name, Pipeline: p,
		Input: body.Input, MaxTokens: body.Tokens, Deadline: deadline,
	}
	if !body.Stream {
		out, err := s.runJob(r.Context(), ar.table, j, nil)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, outcomeOf(ar.id, out))
		return nil
	}
	return s.pipelineStream(w, r, ar, j)
}

// pipelineStream sends each token as an event {"index":N,"text":"…"} and then
// the outcome.
func (s *Server) pipelineStream(w http.ResponseWriter, r *http.Request, ar accountRequest, j pipelinejob.Job) error {
	stream := newEventStream(w, j.Deadline)
	defer stream.close()
	var prefix []byte
	out, err := s.runJob(r.Context(), ar.table, j, func(t stagecall.Token) error {
		prefix = append(prefix[:0], `{"index":`...)
		prefix = strconv.AppendInt(prefix, int64(t.Index), 10)
		prefix = append(prefix, `,"text":`...)
		return stream.sendText(prefix, t.Text, "}")
	})
	if err != nil {
		return stream.fail(ar.id, err)
	}
	stream.send(outcomeOf(ar.id, out))
	return nil
}

func outcomeOf(id string, out pipelinejob.Response) wireOutcome {
	return wireOutcome{
		Request: id, Output: out.Output, Reason: out.FinishReason, Tokens: out.GeneratedTokens, Stages: out.Stages,
	}
}
