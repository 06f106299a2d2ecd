package forwarder

// This file serves the polls, orders and progress reports of other instances, and
// converts orders to and from their messages.

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/coordinator"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	maxPieces = 4096 // in one order, over all of its stages
	maxStages = 16   // in one order
	// maxRemaining bounds every duration that is taken from a peer's message, in both
	// directions.
	maxRemaining = 10 * time.Minute
	// returnTime is the time before the end of this instance at which the orders of peers are
	// returned that still wait, so that other coordinators can carry them out.
	returnTime = 1500 * time.Millisecond
)

type message = proto.Message

// registerHandlers registers the handlers of calls from peers. The handler of orders is
// registered by HandleCancellable, so that the work ends if the peer cancels the order.
func (f *Forwarder) registerHandlers() {
	f.transport.Handle(method.StageRoll, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var roll stagepb.Roll
		if err := encoding.Unmarshal(body, &roll); err != nil {
			return nil, err
		}
		now := time.Now()
		f.workload.Polled()
		f.election.RecordPoll(decodeRoll(&roll, now))
		if roll.Leader == f.self && len(roll.Candidates) > 0 {
			f.fleet.RecordFollower(roll.Candidates[0].Address, now)
			f.followed.Store(true)
		}
		asking := relays.Relay{Address: roll.Relay, Centre: roll.Centre}
		f.roster.Record(asking, roll.Unreachable, now)
		f.recordConfirmation(&roll, f.freshness.Now())
		answer := f.addChanges(f.newRoll(now, f.quarantine.Clearances(now)), positionOf(&roll))
		answer.Doubtful = f.roster.Doubtful(now)
		if len(roll.Unreachable) > 0 {
			answer.Relays = encodeRelays(f.nameRelays(asking, roll.Unreachable, now))
		}
		if roll.Starting || !positionOf(&roll).Known() {
			answer.Leaving = f.notices.Known()
			answer.Departed = f.encodeDeparted(now)
			answer.Limits = append(answer.Limits, encodeLimits(f.notices.KnownLimits(), now)...)
		}
		return encoding.Marshal(answer)
	})
	f.transport.HandleCancellable(method.StageOrder, func(ctx context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.Order
		if err := encoding.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		o, err := decodeOrder(&in, time.Now())
		if err != nil {
			return nil, err
		}
		o.MayTry = f.mayTry()
		answered := f.workload.Order()
		ctx, release := f.limit(ctx)
		defer release()
		prepared, err := f.local.Prepare(ctx, o)
		answered(err != nil)
		return answer(prepared, err)
	})
	f.transport.HandleCancellable(method.StagePermit, func(ctx context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.Permit
		if err := encoding.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		ctx, release := f.limit(ctx)
		defer release()
		name, err := f.local.Permit(ctx, decodePermit(&in, time.Now()))
		return answer(coordinator.Prepared{Engine: name}, err)
	})
	f.transport.Handle(method.StageNews, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.News
		if err := encoding.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		f.local.Started(in.Started)
		f.local.Ended(in.Ended)
		f.learnLosses(in.Losses, time.Now())
		f.learnClearances(in.Clearances)
		f.learnBegun(in.Begun, time.Now())
		return proto.Marshal(&stagepb.News{})
	})
}

// limit returns a context for an order of a peer that ends when this instance stops too soon to carry it out.
func (f *Forwarder) limit(ctx context.Context) (limited context.Context, release func()) {
	return f.shutdown.Limit(ctx, func() time.Duration { return returnTime })
}

// encodeOrder returns the message of an order with the given id. Its times are sent as the time left
// until them, so that the clocks of the instances need not agree.
func encodeOrder(r proxy.PrepareParams, id string) *stagepb.Order {
	req := r.Request
	o := &stagepb.Order{
		Id: id, Request: req.ID, Key: req.PieceKey, Rank: uint32(req.SchedulingPriority()), GoalMs: time.Until(req.Goal).Milliseconds(),
		DeadlineMs: uint64(max(0, time.Until(req.Deadline).Milliseconds())), Service: req.Service,
		Version: r.Version, Tried: r.Tried, Fingerprint: req.Fingerprint(), Account: req.Account,
	}
	if req.NeedsStages() {
		for i, s := range req.Route.Stages {
			stage := &stagepb.Stage{Service: s.Service, Bytes: uint64(s.Bytes), Pieces: uint32(req.Pieces[i])}
			for _, a := range s.After {
				stage.After = append(stage.After, uint32(a))
			}
			o.Stages = append(o.Stages, stage)
		}
	}
	for _, p := range req.Prompt {
		o.Prompt = append(o.Prompt, &stagepb.Part{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return o
}

// decodeOrder returns the order of a message that was received at the time now. It
// refuses an order with a stage that depends on itself or a later one, or with more
// than maxStages stages or maxPieces pieces.
func decodeOrder(in *stagepb.Order, now time.Time) (coordinator.Order, error) {
	goal := now.Add(clamp(time.Duration(in.GoalMs) * time.Millisecond))
	deadline := now.Add(clamp(time.Duration(in.DeadlineMs) * time.Millisecond))
	o := coordinator.Order{
		ID: in.Id, Request: in.Request, Service: in.Service, Version: in.Version, Tried: in.Tried, Rank: int(in.Rank), Goal: goal, Deadline: deadline, Fingerprint: in.Fingerprint,
	}
	for _, p := range in.Prompt {
		o.Prompt = append(o.Prompt, request.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	if len(in.Stages) == 0 {
		return o, nil
	}
	if len(in.Stages) > maxStages {
		return coordinator.Order{}, fmt.Errorf("order %s: got %d stages, want %d at most", in.Id, len(in.Stages), maxStages)
	}
	stages := make([]catalog.Stage, len(in.Stages))
	pieces := make([]int, len(in.Stages))
	total := 0
	for i, s := range in.Stages {
		stages[i] = catalog.Stage{Service: s.Service, Bytes: int64(s.Bytes)}
		for _, a := range s.After {
			if int(a) >= i {
				return coordinator.Order{}, fmt.Errorf("order %s: stage %d: got stage %d before it, want an earlier one", in.Id, i, a)
			}
			stages[i].After = append(stages[i].After, int(a))
		}
		pieces[i] = int(s.Pieces)
		if total += pieces[i]; total > maxPieces {
			return coordinator.Order{}, fmt.Errorf("order %s: got more than %d pieces", in.Id, maxPieces)
		}
	}
	o.Job = job.New(in.Id, in.Request, in.Key, stages, pieces, int(in.Rank), goal, deadline)
	o.Job.Fingerprint, o.Job.Account = o.Fingerprint, in.Account
	return o, nil
}

// clamp limits a duration of a peer's message to maxRemaining in either direction.
func clamp(d time.Duration) time.Duration { return max(-maxRemaining, min(maxRemaining, d)) }

// answer returns the body that answers an order. If the work was ended because this instance
// stops it returns the error, so that the peer takes the order to another coordinator.
func answer(r coordinator.Prepared, err error) ([]byte, error) {
	if err != nil && isLost(err) {
		return nil, err
	}
	return encoding.Marshal(encodeOutcome(r, err))
}

// encodeOutcome returns the message that answers an order. The error is nil or a *fault.Fault.
func encodeOutcome(r coordinator.Prepared, err error) *stagepb.Outcome {
	if err != nil {
		refusal := fault.From(err)
		return &stagepb.Outcome{Code: uint32(refusal.Code), Reason: refusal.Detail, AfterMs: uint32(refusal.RetryAfter.Milliseconds())}
	}
	return &stagepb.Outcome{Handles: r.Handles, Engine: r.Engine, Permitted: r.Permitted, Trial: r.Trial}
}
