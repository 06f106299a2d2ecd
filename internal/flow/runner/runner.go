// Package runner runs jobs through the stages of their pipelines. All stages of a job share
// one deadline. A job that is predicted to miss it is refused before anything runs. A
// stage that fails or gets slow is retried or hedged within a budget. A stream that breaks
// is resumed on another engine from the last token received. The package calls endpoints.
package runner

// This file defines Runner, which runs the stages of a job one after the other.

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
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// marginDivisor bounds the time kept in reserve to this fraction (1/marginDivisor) of a
// pipeline's deadline.
const marginDivisor = 8

// Sink receives the tokens of the last stage, each once and in order. It is called from one
// goroutine at a time and never after Run has returned. If it returns an error, the
// attempt that produced the token fails. A nil Sink ignores the tokens.
type Sink func(stagecall.Token) error

// Runner runs jobs. It is safe for concurrent use.
type Runner struct {
	tables          *holder.Holder
	dispatcher      *dispatcher.Dispatcher
	client          *client.Client
	budget          *retry.Budget
	serviceTimes    *servicetime.Estimator // complete stages
	firstTokenTimes *servicetime.Estimator // time to a stage's first token, or to its response if it does not stream
	probes          probeLimiter
	log             logr.Logger
	scope           tally.Scope
}

// New returns a runner that takes its retries and hedges from budget.
func New(t *holder.Holder, d *dispatcher.Dispatcher, c *client.Client, budget *retry.Budget, log logr.Logger, scope tally.Scope) *Runner {
	return &Runner{
		tables: t, dispatcher: d, client: c, budget: budget,
		serviceTimes: servicetime.New(), firstTokenTimes: servicetime.New(), log: log, scope: scope,
	}
}

// Run runs a job through its stages. The error is a *fault.Fault, whose class says whether
// any stage may have run.
func (r *Runner) Run(ctx context.Context, j pipelinejob.Job, sink Sink) (pipelinejob.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	if err := r.admit(&j); err != nil {
		return pipelinejob.Response{}, err
	}
	var out pipelinejob.Response
	prompt := j.Input
	for i := range j.Pipeline.Stages {
		s := r.newStageRun(&j, i, prompt)
		if i == len(j.Pipeline.Stages)-1 {
			s.stream.sink = sink
		}
		response, err := s.run(ctx)
		if err != nil {
			return out, err
		}
		out.Stages = append(out.Stages, s.record)
		out.Output = response.Output
		out.PromptTokens = response.PromptTokens
		out.GeneratedTokens = response.GeneratedTokens
		out.FinishReason = response.FinishReason
		prompt = ExtendPrompt(prompt, s.stage.Name, response.Output)
	}
	return out, nil
}

// admit refuses a job that is predicted to miss its deadline, unless it may run as a probe.
// In that case it sets j.Probe.
func (r *Runner) admit(j *pipelinejob.Job) error {
	var wait time.Duration
	for i := range j.Pipeline.Stages {
		st := &j.Pipeline.Stages[i]
		wait += r.dispatcher.PredictWait(st.Role, modelOf(j, st), j.Account)
	}
	left := time.Until(j.Deadline)
	prediction := r.serviceTimes.Predict(j.Pipeline, 0, left-r.margin(j.Pipeline, 0), wait)
	if prediction.MeetsDeadline {
		return nil
	}
	if left > 0 && r.probes.allow(j.Pipeline.Name, time.Now()) {
		j.Probe = true
		return nil
	}
	r.count("early", j.Pipeline.Name)
	c := code.NoTime
	if wait > 0 {
		c = code.Overloaded
	}
	f := fault.New(c, "got %v until the deadline, want %v", left.Round(time.Millisecond), prediction.TotalTime.Round(time.Millisecond))
	f.RetryAfter = prediction.RetryAfter
	return f
}

// margin returns the time to keep in reserve because stage i and all later stages may take
// longer than predicted: the sum of their mean deviations, at most 1/marginDivisor of the
// pipeline's deadline.
func (r *Runner) margin(p *pipeline.Pipeline, i int) time.Duration {
	var sum time.Duration
	for ; i < len(p.Stages); i++ {
		_, deviation := r.serviceTimes.StageTime(p, i)
		sum += deviation
	}
	return min(sum, p.Deadline.Duration()/marginDivisor)
}

func (r *Runner) count(name, stage string) {
	r.scope.Tagged(map[string]string{"stage": stage}).Counter(name).Inc(1)
}

// ExtendPrompt returns the prompt of the next stage: the prompt of a stage, followed by the
// stage's name and output. The existing prompt remains a prefix of the new one, so that
// engines can reuse their cached prefix.
func ExtendPrompt(prompt, stage, output string) string {
	var b strings.Builder
	b.Grow(len(prompt) + len(stage) + len(output) + len("\n[] "))
	b.WriteString(prompt)
	b.WriteString("\n[")
	b.WriteString(stage)
	b.WriteString("] ")
	b.WriteString(output)
	return b.String()
}

// modelOf returns the model of a stage: the one that the job names if a model engine runs
// the stage, or else the stage's own.
func modelOf(j *pipelinejob.Job, s *pipeline.Stage) string {
	if s.Model != "" && j.Model != "" {
		return j.Model
	}
	return s.Model
}

// tokensOf returns the maximum number of tokens that a stage generates, or zero if it does
// not generate.
func tokensOf(j *pipelinejob.Job, s *pipeline.Stage) int {
	if s.Tokens > 0 && j.MaxTokens > 0 {
		return j.MaxTokens
	}
	return s.Tokens
}

func adapterOf(m *model.Model) string {
	if m == nil {
		return ""
	}
	return m.Adapter
}
