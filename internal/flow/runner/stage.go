package runner

// This file defines stage, one stage of one job with its attempts.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/retry"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/flow/job"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const (
	mostAttempts = 4                      // of one stage, retries and hedges included
	mostStall    = time.Second            // longest silence within a stream before it is hedged
	moveAhead    = 10 * time.Second       // how long before its endpoint's leaving date a stream is moved
	exportWait   = 300 * time.Millisecond // longest wait for the export of a KV cache
)

// stage is owned by the goroutine of its job. Its attempts run in goroutines
// of their own, share its stream, and report by results.
type stage struct {
	*Runner
	job    *job.Job
	index  int
	stage  *pipeline.Stage
	prompt string
	blocks []uint64
	stream stream

	attempts int
	pending  int
	cancels  [mostAttempts]context.CancelFunc
	tried    []string
	ran      bool  // an attempt may have run
	last     error // of the last attempt that got an endpoint, or of the first that got none
	results  chan result
	moved    string // endpoint that the stream was moved off, or empty
	handle   string // of the KV cache that the next attempt imports, or empty
	record   job.Stage
}

// result is how one attempt ended.
type result struct {
	attempt  int
	endpoint string // empty where none was found
	answer   stagecall.Response
	err      error
	safe     bool          // known not to have run
	took     time.Duration // from the sending to the end
	first    time.Duration // from the sending to the first token, or to the end where nothing streamed
}

func (r *Runner) stage(j *job.Job, i int, prompt string) *stage {
	st := &j.Pipeline.Stages[i]
	s := &stage{
		Runner: r, job: j, index: i, stage: st, prompt: prompt,
		results: make(chan result, mostAttempts),
		record:  job.Stage{Name: st.Name},
	}
	if st.Model != "" {
		s.blocks = prefix.Blocks(nil, prompt)
	}
	s.stream.won = s.cancelOthers
	return s
}

// run makes attempts until one gives the whole answer, or until none may follow.
func (s *stage) run(ctx context.Context) (stagecall.Response, error) {
	begin := time.Now()
	defer s.end()
	s.budget.RecordFirstAttempt(s.share())
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
			s.fail(res)
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

// end makes what is still running of no effect.
func (s *stage) end() {
	s.stream.close()
	for _, cancel := range s.cancels {
		if cancel != nil {
			cancel()
		}
	}
}

func (s *stage) share() retry.Shares {
	p := s.tables.Current().Policy
	return retry.Shares{Retry: p.Retry, Hedge: p.Hedge}
}

// measure records how long the attempt that won took.
func (s *stage) measure(res result) {
	p, name := s.job.Pipeline.Name, s.stage.Name
	if s.job.Probe {
		s.times.ObserveProbe(p, name, res.took)
		s.firsts.ObserveProbe(p, name, res.first)
		return
	}
	s.times.Observe(p, name, res.took)
	s.firsts.Observe(p, name, res.first)
}

// accept records the answer of the attempt that won.
func (s *stage) accept(res result, took time.Duration) stagecall.Response {
	s.record.Endpoint = res.endpoint
	s.record.Attempts = s.attempts
	s.record.Took = took
	s.record.Busy = res.answer.BusyTime
	s.measure(res)
	answer := res.answer
	if n := s.stream.close(); n > 0 {
		answer.Output = s.stream.text.String()
		answer.GeneratedTokens = n
	}
	return answer
}

func (s *stage) fail(res result) {
	s.ran = s.ran || !res.safe
	if res.endpoint != "" {
		s.tried = append(s.tried, res.endpoint)
	}
	if res.endpoint != "" || s.last == nil {
		s.last = res.err
	}
}

// mayRetry reports whether one more attempt may follow a failed one. What has
// not run costs no budget.
func (s *stage) mayRetry(ctx context.Context, res result) bool {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil || s.pending > 0 || s.attempts >= mostAttempts || time.Until(s.until()) <= 0:
		return false
	case errors.As(res.err, &refusal):
		return false
	case res.safe || s.moved != "" && res.endpoint == s.moved:
		return true
	case s.stage.Once:
		return false
	}
	if !s.budget.AllowRetry() {
		s.count("unretried", s.stage.Name)
		return false
	}
	s.count("retries", s.stage.Name)
	return true
}

// hedgeDelay returns how long the first answer may take before a hedge.
func (s *stage) hedgeDelay() time.Duration {
	mean, deviation := s.firsts.StageTime(s.job.Pipeline, s.index)
	spare := time.Until(s.job.Deadline) - 2*s.times.RemainingTime(s.job.Pipeline, s.index)
	delay, _ := retry.HedgeDelay(mean, deviation, spare, s.tables.Current().Policy.Patience())
	if delay == 0 {
		return mostStall
	}
	return delay
}

// hedge starts a second attempt beside one that has given nothing for too
// long, from the token reached, and returns when to look again.
func (s *stage) hedge(ctx context.Context, now time.Time) time.Duration {
	s.move(ctx, now)
	delay := s.hedgeDelay()
	if s.stream.reached() > 0 {
		delay = mostStall
	}
	quiet, load := s.stream.silence(now)
	if quiet < delay {
		return max(time.Millisecond, delay-quiet)
	}
	if s.stage.Once || s.pending != 1 || s.attempts >= mostAttempts || ctx.Err() != nil {
		return mostStall
	}
	if s.budget.AllowHedge(load) {
		s.count("hedges", s.stage.Name)
		s.start(ctx, true)
	}
	return mostStall
}

// cancelOthers ends all attempts but one. It is called with the stream's lock held.
func (s *stage) cancelOthers(attempt int) {
	for i, cancel := range s.cancels {
		if cancel != nil && i != attempt-1 {
			cancel()
		}
	}
}

// fault turns the last failure into a numbered code of the right class.
func (s *stage) fault(ctx context.Context) error {
	return faultOf(ctx, state{
		stage:    s.stage.Name,
		sent:     s.ran,
		earlier:  s.index > 0,
		streamed: s.stream.reached() > 0,
	}, s.last)
}

// latest returns the last moment at which the stage is worth to start.
func (s *stage) latest() time.Time {
	if s.job.Probe {
		return s.job.Deadline
	}
	p := s.job.Pipeline
	return s.job.Deadline.Add(-s.times.RemainingTime(p, s.index) - s.margin(p, s.index))
}

// until returns the moment after which the stage's answer is of no use: the
// later stages could not finish even in half of their usual time.
func (s *stage) until() time.Time {
	if s.job.Probe {
		return s.job.Deadline
	}
	later := s.times.RemainingTime(s.job.Pipeline, s.index+1)
	return s.job.Deadline.Add(-later / 2)
}

// kindOf returns zero for success.
func kindOf(err error) failure.Kind {
	if err == nil {
		return 0
	}
	return failure.KindOf(err)
}
