// Package runner takes a job through the stages of its pipeline.
package runner

// This file defines Runner and its stage loop.

import (
	"context"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/job"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const mostAttempts = 3

// Sink receives the tokens of the last stage. It may be nil.
type Sink func(call.Token) error

// Runner runs jobs.
type Runner struct {
	tables *holder.Holder
	picker *picker.Picker
	board  *board.Board
	client *client.Client
	log    logr.Logger
}

// New returns a runner.
func New(t *holder.Holder, p *picker.Picker, b *board.Board, c *client.Client, log logr.Logger) *Runner {
	return &Runner{tables: t, picker: p, board: b, client: c, log: log}
}

// Run takes a job through its stages. The error is a *fault.Fault whose class
// says whether anything ran.
func (r *Runner) Run(ctx context.Context, j job.Job, sink Sink) (job.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	var out job.Outcome
	prompt := j.Input
	for i := range j.Pipeline.Stages {
		st := &run{Runner: r, job: &j, stage: j.Pipeline.Stages[i], prompt: prompt, first: i == 0}
		if i == len(j.Pipeline.Stages)-1 {
			st.sink = sink
		}
		answer, err := st.run(ctx)
		if err != nil {
			return out, err
		}
		out.Stages = append(out.Stages, st.record)
		out.Output = answer.Output
		out.Prompt = answer.Prompt
		out.Tokens = answer.Tokens
		out.Reason = answer.Reason
		prompt = Extend(prompt, st.stage.Name, answer.Output)
	}
	return out, nil
}

// Extend returns the prompt of the next stage: what came before, and the
// result of a stage under its name. The start stays the same, so that engines
// can reuse what they cached of it.
func Extend(prompt, stage, output string) string {
	var b strings.Builder
	b.WriteString(prompt)
	b.WriteString("\n[")
	b.WriteString(stage)
	b.WriteString("] ")
	b.WriteString(output)
	return b.String()
}

// run is one stage of one job.
type run struct {
	*Runner
	job    *job.Job
	stage  pipeline.Stage
	prompt string
	first  bool // no earlier stage of the job has run
	sink   Sink

	tried  []string
	next   int // token at which a stream resumes
	text   strings.Builder
	ran    bool // an attempt reached an endpoint
	record job.Stage
}

func (s *run) run(ctx context.Context) (call.Answer, error) {
	start := time.Now()
	s.record.Name = s.stage.Name
	var last error
	for attempt := 1; attempt <= mostAttempts; attempt++ {
		table := s.tables.Current()
		choice := s.picker.Pick(table, picker.Query{
			Role: s.stage.Role, Model: s.model(), Blocks: prefix.Blocks(nil, s.prompt), Tried: s.tried, Now: time.Now(),
		})
		if choice.Endpoint == nil {
			if last == nil {
				last = failure.New(failure.Unsent, nil, "%s", choice.Reason.String())
			}
			break
		}
		s.log.Info("routing", "request", s.job.ID, "account", s.job.Account, "stage", s.stage.Name,
			"attempt", attempt, "endpoint", choice.Endpoint.Name, "reason", choice.Reason.String(),
			"epoch", table.Epoch, "version", table.Version)
		s.record.Attempts = attempt
		answer, err := s.attempt(ctx, choice.Endpoint, attempt)
		if err == nil {
			s.record.Endpoint = choice.Endpoint.Name
			s.record.Took = time.Since(start)
			s.record.Busy = answer.Busy
			return answer, nil
		}
		last = err
		if ctx.Err() != nil || s.stage.Once && failure.KindOf(err) != failure.Unsent {
			break
		}
		s.tried = append(s.tried, choice.Endpoint.Name)
	}
	return call.Answer{}, s.fault(ctx, last)
}

func (s *run) model() string {
	if s.stage.Model != "" && s.job.Model != "" {
		return s.job.Model
	}
	return s.stage.Model
}

func (s *run) tokens() int {
	if s.stage.Tokens > 0 && s.job.Tokens > 0 {
		return s.job.Tokens
	}
	return s.stage.Tokens
}

func (s *run) attempt(ctx context.Context, e *endpoint.Endpoint, attempt int) (call.Answer, error) {
	start := time.Now()
	s.board.Start(e.Name, start)
	answer, err := s.client.Do(ctx, e.Address, call.Call{
		Request:  s.job.ID,
		Stage:    s.stage.Name,
		Attempt:  attempt,
		Deadline: s.job.Deadline,
		Model:    s.model(),
		Prompt:   s.prompt,
		From:     s.next,
		Tokens:   s.tokens(),
	}, s.token)
	now := time.Now()
	s.board.Done(e.Name, board.Result{Took: now.Sub(start), Kind: kindOf(err), Tokens: answer.Tokens}, now)
	if err != nil {
		k := failure.KindOf(err)
		s.ran = s.ran || k != failure.Unsent && (k != failure.Refused || !e.Trusted)
		s.log.Info("attempt failed", "request", s.job.ID, "stage", s.stage.Name,
			"attempt", attempt, "endpoint", e.Name, "kind", k.String(), "error", err.Error())
		return call.Answer{}, err
	}
	if s.text.Len() > 0 {
		answer.Output = s.text.String()
		answer.Tokens = s.next
	}
	return answer, nil
}

// kindOf returns zero for success.
func kindOf(err error) failure.Kind {
	if err == nil {
		return 0
	}
	return failure.KindOf(err)
}

// token keeps what a stream has given, so that a later attempt resumes after it.
func (s *run) token(t call.Token) error {
	s.next = t.Index + 1
	s.text.WriteString(t.Text)
	if s.sink == nil {
		return nil
	}
	return s.sink(t)
}

// fault turns the last failure into a numbered code of the right class.
func (s *run) fault(ctx context.Context, last error) error {
	started := s.ran || !s.first
	switch {
	case ctx.Err() != nil && started:
		return fault.Wrap(code.OutOfTime, last, "in stage %s", s.stage.Name)
	case ctx.Err() != nil:
		return fault.Wrap(code.NoTime, last, "in stage %s", s.stage.Name)
	case started:
		return fault.Wrap(code.StageFailed, last, "stage %s", s.stage.Name)
	default:
		return fault.Wrap(code.NoEndpoint, last, "stage %s", s.stage.Name)
	}
}
