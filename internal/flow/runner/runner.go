// Package runner takes a job through the stages of its pipeline: under one
// deadline, with retries and hedges within their budget, and with streams that
// resume on another engine at the token reached.
package runner

// This file defines Runner and the way of a job through its stages.

import (
	"context"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/admission/servicetime"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/flow/job"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// mostMargin is the part of a pipeline's deadline that is kept in reserve at most.
const mostMargin = 8

// Sink receives the tokens of the last stage, each once and in order, from one
// goroutine at a time and never after Run has returned. It may be nil.
type Sink func(stagecall.Token) error

// Runner runs jobs.
type Runner struct {
	tables     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	client     *client.Client
	budget     *retry.Budget
	times      *servicetime.Estimator // of whole stages
	firsts     *servicetime.Estimator // until the first answer of a stage
	probes     probes
	log        logr.Logger
	scope      tally.Scope
}

// New returns a runner that draws retries and hedges from budget.
func New(t *holder.Holder, d *dispatcher.Dispatcher, c *client.Client, budget *retry.Budget, log logr.Logger, scope tally.Scope) *Runner {
	return &Runner{
		tables: t, dispatcher: d, client: c, budget: budget,
		times: servicetime.New(), firsts: servicetime.New(), log: log, scope: scope,
	}
}

// Run takes a job through its stages. The error is a *fault.Fault whose class
// says whether anything ran.
func (r *Runner) Run(ctx context.Context, j job.Job, sink Sink) (job.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	if err := r.admit(&j); err != nil {
		return job.Outcome{}, err
	}
	var out job.Outcome
	prompt := j.Input
	for i := range j.Pipeline.Stages {
		s := r.stage(&j, i, prompt)
		if i == len(j.Pipeline.Stages)-1 {
			s.stream.sink = sink
		}
		answer, err := s.run(ctx)
		if err != nil {
			return out, err
		}
		out.Stages = append(out.Stages, s.record)
		out.Output = answer.Output
		out.Prompt = answer.PromptTokens
		out.Tokens = answer.GeneratedTokens
		out.Reason = answer.FinishReason
		prompt = Extend(prompt, s.stage.Name, answer.Output)
	}
	return out, nil
}

// admit refuses a job whose stages can't finish in time, before anything runs.
func (r *Runner) admit(j *job.Job) error {
	var wait time.Duration
	for i := range j.Pipeline.Stages {
		st := &j.Pipeline.Stages[i]
		wait += r.dispatcher.Wait(st.Role, modelOf(j, st), j.Account)
	}
	left := time.Until(j.Deadline)
	verdict := r.times.Predict(j.Pipeline, 0, left-r.margin(j.Pipeline, 0), wait)
	if verdict.MeetsDeadline {
		return nil
	}
	if left > 0 && r.probes.take(j.Pipeline.Name, time.Now()) {
		j.Probe = true
		return nil
	}
	r.count("early", j.Pipeline.Name)
	c := code.NoTime
	if wait > 0 {
		c = code.Overloaded
	}
	f := fault.New(c, "got %v until the deadline, want %v", left.Round(time.Millisecond), verdict.TotalTime.Round(time.Millisecond))
	f.After = verdict.RetryAfter
	return f
}

// margin returns the time by which stage i and all later ones may take longer
// than their means, at most a mostMargin-th part of the pipeline's deadline.
func (r *Runner) margin(p *pipeline.Pipeline, i int) time.Duration {
	var sum time.Duration
	for ; i < len(p.Stages); i++ {
		_, deviation := r.times.StageTime(p, i)
		sum += deviation
	}
	return min(sum, p.Deadline.Duration()/mostMargin)
}

func (r *Runner) count(name, stage string) {
	r.scope.Tagged(map[string]string{"stage": stage}).Counter(name).Inc(1)
}

// Extend returns the prompt of the next stage: what came before, and the
// result of a stage under its name. The start stays the same, so that engines
// can reuse what they cached of it.
func Extend(prompt, stage, output string) string {
	var b strings.Builder
	b.Grow(len(prompt) + len(stage) + len(output) + len("\n[] "))
	b.WriteString(prompt)
	b.WriteString("\n[")
	b.WriteString(stage)
	b.WriteString("] ")
	b.WriteString(output)
	return b.String()
}

// modelOf returns the model of a stage: the job's own for stages that a model engine runs.
func modelOf(j *job.Job, s *pipeline.Stage) string {
	if s.Model != "" && j.Model != "" {
		return j.Model
	}
	return s.Model
}

func tokensOf(j *job.Job, s *pipeline.Stage) int {
	if s.Tokens > 0 && j.Tokens > 0 {
		return j.Tokens
	}
	return s.Tokens
}

func adapterOf(m *model.Model) string {
	if m == nil {
		return ""
	}
	return m.Adapter
}
