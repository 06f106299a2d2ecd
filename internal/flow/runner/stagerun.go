package runner

// This file defines stageRun, the execution of one stage of one job in one or more attempts.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const (
	maxAttempts   = 4                      // attempts at one stage, retries and hedges included
	maxTokenGap   = time.Second            // a stream is hedged if it has had no new token for this time
	migrateAhead  = 10 * time.Second       // a stream is migrated if its endpoint leaves within this time
	exportTimeout = 300 * time.Millisecond // timeout of the export of a KV cache
)

// stageRun is owned by the goroutine that runs the job. Its attempts run in their own
// goroutines, share its stream and send their results to its channel results.
type stageRun struct {
	*Runner
	job    *pipelinejob.Job
	index  int // of the stage in the pipeline
	stage  *pipeline.Stage
	prompt string
	blocks []uint64 // prefix hashes of the prompt; nil if no model engine runs the stage
	stream stream

	attempts     int // attempts started so far
	pending      int // attempts whose result has not been received
	cancels      [maxAttempts]context.CancelFunc
	tried        []string // endpoints of the failed attempts
	ran          bool     // an attempt may have run
	lastErr      error    // error of the last attempt that got an endpoint, or of the first attempt if none got one
	results      chan attemptResult
	migratedFrom string // endpoint that the stream was migrated from, or empty
	kvHandle     string // handle of the KV cache that the next attempt imports, or empty
	record       pipelinejob.StageStats
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt    int
	endpoint   string // empty if the attempt got no endpoint
	response   stagecall.Response
	err        error
	notRun     bool          // the attempt is known not to have run
	elapsed    time.Duration // from the send to the end
	firstToken time.Duration // from the send to the first token, or to the end if there was no token
}

func (r *Runner) newStageRun(j *pipelinejob.Job, i int, prompt string) *stageRun {
	st := &j.Pipeline.Stages[i]
	s := &stageRun{
		Runner: r, job: j, index: i, stage: st, prompt: prompt,
		results: make(chan attemptResult, maxAttempts),
		record:  pipelinejob.StageStats{Name: st.Name},
	}
	if st.Model != "" {
		s.blocks = prefix.Blocks(nil, prompt)
	}
	s.stream.onTakeover = s.cancelOthers
	return s
}

// run makes attempts until one returns the complete response or no further attempt may be made.
func (s *stageRun) run(ctx context.Context) (stagecall.Response, error) {
	begin := time.Now()
	defer s.end()
	s.budget.RecordFirstAttempt(s.shares())
	s.start(ctx, false)
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case res := <-s.results:
			s.pending--
			if res.err == nil {
				return s.accept(res, time.Since(begin)), nil
			}
			s.recordFailure(res)
			if s.mayRetry(ctx, res) {
				s.start(ctx, false)
			}
			if s.pending == 0 {
				return stagecall.Response{}, s.fault(ctx)
			}
		case now := <-hedge.C:
			hedge.Reset(s.hedge(ctx, now))
		}
	}
}

// end closes the stream and cancels the attempts that are still running.
func (s *stageRun) end() {
	s.stream.close()
	for _, cancel := range s.cancels {
		if cancel != nil {
			cancel()
		}
	}
}

func (s *stageRun) shares() retry.Shares {
	p := s.tables.Current().Policy
	return retry.Shares{Retry: p.Retry, Hedge: p.Hedge}
}

// observe records the service time and the time to the first token of the successful attempt.
func (s *stageRun) observe(res attemptResult) {
	p, name := s.job.Pipeline.Name, s.stage.Name
	if s.job.Probe {
		s.serviceTimes.ObserveProbe(p, name, res.elapsed)
		s.firstTokenTimes.ObserveProbe(p, name, res.firstToken)
		return
	}
	s.serviceTimes.Observe(p, name, res.elapsed)
	s.firstTokenTimes.Observe(p, name, res.firstToken)
}

// accept records and returns the response of the successful attempt. If the stage streamed,
// the output is the text of the stream, since the tokens can come from several attempts.
func (s *stageRun) accept(res attemptResult, elapsed time.Duration) stagecall.Response {
	s.record.Endpoint = res.endpoint
	s.record.Attempts = s.attempts
	s.record.Elapsed = elapsed
	s.record.BusyTime = res.response.BusyTime
	s.observe(res)
	response := res.response
	if n := s.stream.close(); n > 0 {
		response.Output = s.stream.text.String()
		response.GeneratedTokens = n
	}
	return response
}

func (s *stageRun) recordFailure(res attemptResult) {
	s.ran = s.ran || !res.notRun
	if res.endpoint != "" {
		s.tried = append(s.tried, res.endpoint)
	}
	if res.endpoint != "" || s.lastErr == nil {
		s.lastErr = res.err
	}
}

// mayRetry reports whether one more attempt may follow a failed one. A retry takes from
// the retry budget unless the failed attempt is known not to have run or was cancelled
// to migrate the stream.
func (s *stageRun) mayRetry(ctx context.Context, res attemptResult) bool {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil || s.pending > 0 || s.attempts >= maxAttempts || time.Until(s.resultDeadline()) <= 0:
		return false
	case errors.As(res.err, &refusal):
		return false
	case res.notRun || s.migratedFrom != "" && res.endpoint == s.migratedFrom:
		return true
	case s.stage.NonIdempotent:
		return false
	}
	if !s.budget.AllowRetry() {
		s.count("unretried", s.stage.Name)
		return false
	}
	s.count("retries", s.stage.Name)
	return true
}

// hedgeDelay returns how long to wait for the first token, or for the response if the
// stage does not stream, before the attempt is hedged.
func (s *stageRun) hedgeDelay() time.Duration {
	mean, deviation := s.firstTokenTimes.StageTime(s.job.Pipeline, s.index)
	// The slack is the time left to the deadline if the stages take twice their predicted
	// time. A hedge that starts after the slack then still has time to finish.
	slack := time.Until(s.job.Deadline) - 2*s.serviceTimes.RemainingTime(s.job.Pipeline, s.index)
	delay, _ := retry.HedgeDelay(mean, deviation, slack, s.tables.Current().Policy.CostShare())
	if delay == 0 {
		return maxTokenGap
	}
	return delay
}

// hedge starts a second attempt if the only running one has made no progress for too
// long. The second attempt continues from the last token received. Before that, hedge
// migrates the stream if its engine leaves soon. It returns the time until the next check.
func (s *stageRun) hedge(ctx context.Context, now time.Time) time.Duration {
	s.migrate(ctx, now)
	delay := s.hedgeDelay()
	if s.stream.nextToken() > 0 {
		delay = maxTokenGap
	}
	idle, load := s.stream.idleTime(now)
	if idle < delay {
		return max(time.Millisecond, delay-idle)
	}
	if s.stage.NonIdempotent || s.pending != 1 || s.attempts >= maxAttempts || ctx.Err() != nil {
		return maxTokenGap
	}
	if s.budget.AllowHedge(load) {
		s.count("hedges", s.stage.Name)
		s.start(ctx, true)
	}
	return maxTokenGap
}

// cancelOthers cancels all attempts but the given one. The caller holds the stream's lock.
func (s *stageRun) cancelOthers(attempt int) {
	for i, cancel := range s.cancels {
		if cancel != nil && i != attempt-1 {
			cancel()
		}
	}
}

// fault returns the fault of a stage of which no attempt succeeded.
func (s *stageRun) fault(ctx context.Context) error {
	return faultOf(ctx, failureState{
		stage:      s.stage.Name,
		ran:        s.ran,
		earlierRan: s.index > 0,
		streamed:   s.stream.nextToken() > 0,
	}, s.lastErr)
}

// latestStart returns the latest time at which starting an attempt is still useful: the
// predicted time of this and all later stages must remain until the deadline.
func (s *stageRun) latestStart() time.Time {
	if s.job.Probe {
		return s.job.Deadline
	}
	p := s.job.Pipeline
	return s.job.Deadline.Add(-s.serviceTimes.RemainingTime(p, s.index) - s.margin(p, s.index))
}

// resultDeadline returns the time after which the result of the stage is of no use: the
// later stages could not finish by the deadline even in half of their predicted time.
func (s *stageRun) resultDeadline() time.Time {
	if s.job.Probe {
		return s.job.Deadline
	}
	later := s.serviceTimes.RemainingTime(s.job.Pipeline, s.index+1)
	return s.job.Deadline.Add(-later / 2)
}

// kindOf returns the kind of a failure, or zero if err is nil.
func kindOf(err error) failure.Kind {
	if err == nil {
		return 0
	}
	return failure.KindOf(err)
}
