package runner

// This file makes one attempt of a stage.

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

// start starts one more attempt. A hedge is dropped where it would have to wait.
func (s *stage) start(ctx context.Context, hedge bool) {
	s.attempts++
	s.pending++
	ctx, cancel := context.WithDeadline(ctx, s.until())
	s.stream.mu.Lock()
	s.cancels[s.attempts-1] = cancel
	s.stream.mu.Unlock()
	ask := dispatcher.Ask{
		Request: s.job.ID, Account: s.job.Account, Stage: s.stage.Name, Attempt: s.attempts,
		Query: picker.Query{
			Role: s.stage.Role, Model: modelOf(s.job, s.stage), Blocks: s.blocks,
			FallbackServiceTime: s.stage.Time.Duration(), Tried: append([]string(nil), s.tried...),
			AllowTried: !hedge && !s.stage.Once,
		},
		Latest: s.latest(),
		NoWait: hedge,
	}
	go func() {
		defer cancel()
		s.results <- s.attempt(ctx, ask)
	}()
}

func (s *stage) attempt(ctx context.Context, ask dispatcher.Ask) result {
	res := result{attempt: ask.Attempt, safe: true}
	lease, err := s.dispatcher.Acquire(ctx, ask)
	if err != nil {
		res.err = err
		return res
	}
	res.endpoint = lease.Endpoint.Name
	start := time.Now()
	q := s.call(ask.Attempt, lease)
	q.StartIndex, q.PartialOutput = s.stream.touch(ask.Attempt, lease.Endpoint.Name, lease.Load, start)
	res.answer, res.err = s.client.CallStage(ctx, lease.Endpoint.Address, q, func(t stagecall.Token) error {
		if res.first == 0 {
			res.first = time.Since(start)
		}
		return s.stream.token(ask.Attempt, t)
	})
	lease.Done(endpointstats.Result{FirstToken: res.first, Kind: kindOf(res.err), Tokens: res.answer.GeneratedTokens, Blocks: s.blocks})
	res.took = time.Since(start)
	if res.first == 0 {
		res.first = res.took
	}
	if res.answer.DroppedEvents > 0 {
		s.drop(lease.Endpoint.Name, ask.Attempt, res.answer.DroppedEvents)
	}
	if res.err != nil {
		res.safe = s.failed(lease.Endpoint, q, res.err)
	}
	return res
}

func (s *stage) call(attempt int, lease *dispatcher.Lease) stagecall.Call {
	name := modelOf(s.job, s.stage)
	return stagecall.Call{
		RequestID:     s.job.ID,
		Stage:         s.stage.Name,
		Attempt:       attempt,
		Deadline:      s.until(),
		Model:         name,
		Adapter:       adapterOf(s.tables.Current().Model(name)),
		Prompt:        s.prompt,
		MaxTokens:     tokensOf(s.job, s.stage),
		KVHandle:      s.handle,
		NonIdempotent: s.stage.Once,
		BeforeSend:    lease.Check,
	}
}

// failed records a failed attempt, tells the engine that its work is of no
// more use, and reports whether the attempt is known not to have run.
func (s *stage) failed(e *endpoint.Endpoint, q stagecall.Call, err error) (safe bool) {
	kind := failure.KindOf(err)
	s.log.Info("attempt failed", "request", q.RequestID, "stage", q.Stage,
		"attempt", q.Attempt, "endpoint", e.Name, "kind", kind.String(), "error", err.Error())
	s.count("failed_"+kind.String(), q.Stage)
	switch kind {
	case failure.Unsent:
		return true
	case failure.Refused:
		return e.Trusted
	case failure.Errored:
		return false
	}
	if e.Kind == endpoint.Engine {
		s.client.Cancel(e.Address, q)
	}
	return false
}

func (s *stage) drop(name string, attempt, n int) {
	s.log.Info("events dropped", "request", s.job.ID, "stage", s.stage.Name,
		"attempt", attempt, "endpoint", name, "events", n)
	s.scope.Tagged(map[string]string{"stage": s.stage.Name}).Counter("dropped").Inc(int64(n))
}
