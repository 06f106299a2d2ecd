package runner

// This file runs one attempt of a stage.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// start starts one more attempt in its own goroutine. A hedge is not queued: it fails if
// no endpoint has free capacity.
func (s *stageRun) start(ctx context.Context, hedge bool) {
	s.attempts++
	s.pending++
	ctx, cancel := context.WithDeadline(ctx, s.resultDeadline())
	s.stream.mu.Lock()
	s.cancels[s.attempts-1] = cancel
	s.stream.mu.Unlock()
	c := dispatcher.Call{
		RequestID: s.job.ID, Account: s.job.Account, Stage: s.stage.Name, Attempt: s.attempts,
		Query: picker.Query{
			Role: s.stage.Role, Model: modelOf(s.job, s.stage), Blocks: s.blocks,
			FallbackServiceTime: s.stage.ExpectedTime.Duration(), Tried: append([]string(nil), s.tried...),
			AllowTried: !hedge && !s.stage.NonIdempotent,
		},
		LatestStart: s.latestStart(),
		NoWait:      hedge,
	}
	go func() {
		defer cancel()
		s.results <- s.attempt(ctx, c)
	}()
}

// attempt acquires an endpoint, sends the call and waits for the response.
func (s *stageRun) attempt(ctx context.Context, c dispatcher.Call) attemptResult {
	res := attemptResult{attempt: c.Attempt, notRun: true}
	lease, err := s.dispatcher.Acquire(ctx, c)
	if err != nil {
		res.err = err
		return res
	}
	res.endpoint = lease.Endpoint.Name
	start := time.Now()
	q := s.newCall(c.Attempt, lease)
	q.StartIndex, q.PartialOutput = s.stream.recordSend(c.Attempt, lease.Endpoint.Name, lease.Load, start)
	res.response, res.err = s.client.CallStage(ctx, lease.Endpoint.Address, q, func(t stagecall.Token) error {
		if res.firstToken == 0 {
			res.firstToken = time.Since(start)
		}
		return s.stream.appendToken(c.Attempt, t)
	})
	lease.Done(endpointstats.Result{FirstToken: res.firstToken, Kind: kindOf(res.err), Tokens: res.response.GeneratedTokens, Blocks: s.blocks})
	res.elapsed = time.Since(start)
	if res.firstToken == 0 {
		res.firstToken = res.elapsed
	}
	if res.response.DroppedEvents > 0 {
		s.reportDropped(lease.Endpoint.Name, c.Attempt, res.response.DroppedEvents)
	}
	if res.err != nil {
		res.notRun = s.handleError(lease.Endpoint, q, res.err)
	}
	return res
}

func (s *stageRun) newCall(attempt int, lease *dispatcher.Lease) stagecall.Call {
	name := modelOf(s.job, s.stage)
	return stagecall.Call{
		RequestID:     s.job.ID,
		Stage:         s.stage.Name,
		Attempt:       attempt,
		Deadline:      s.resultDeadline(),
		Model:         name,
		Adapter:       adapterOf(s.tables.Current().Model(name)),
		Prompt:        s.prompt,
		MaxTokens:     tokensOf(s.job, s.stage),
		KVHandle:      s.kvHandle,
		NonIdempotent: s.stage.NonIdempotent,
		BeforeSend:    lease.Check,
	}
}

// handleError logs and counts a failed attempt and reports whether it is known not to have
// run. If an engine may still be working on the attempt, it is asked to stop.
func (s *stageRun) handleError(e *endpoint.Endpoint, call stagecall.Call, err error) (notRun bool) {
	kind := failure.KindOf(err)
	s.log.Info("attempt failed", "request", call.RequestID, "stage", call.Stage,
		"attempt", call.Attempt, "endpoint", e.Name, "kind", kind.String(), "error", err.Error())
	s.count("failed_"+kind.String(), call.Stage)
	switch kind {
	case failure.Unsent:
		return true
	case failure.Refused:
		return e.RefusalMeansNotRun
	case failure.Errored:
		return false
	}
	if e.Kind == endpoint.Engine {
		s.client.Cancel(e.Address, call)
	}
	return false
}

// reportDropped logs and counts the events of a response that were ignored, because they
// were repeated or belonged to another call.
func (s *stageRun) reportDropped(name string, attempt, n int) {
	s.log.Info("events dropped", "request", s.job.ID, "stage", s.stage.Name,
		"attempt", attempt, "endpoint", name, "events", n)
	s.scope.Tagged(map[string]string{"stage": s.stage.Name}).Counter("dropped").Inc(int64(n))
}
