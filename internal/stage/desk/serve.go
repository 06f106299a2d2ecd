package desk

// This file answers the orders of other instances.

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/gatherer"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	mostPieces = 4096             // of one order
	mostLeft   = 10 * time.Minute // of an order's times
)

type message = proto.Message

func (d *Desk) handle() {
	d.mesh.Handle(kind.StageRoll, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var roll stagepb.Roll
		if err := proto.Unmarshal(body, &roll); err != nil {
			return nil, err
		}
		now := time.Now()
		d.election.Heard(decodeRoll(&roll, now))
		d.hear(&roll, d.proof.Now())
		return proto.Marshal(d.tellChanges(d.roll(now), roll.Revision))
	})
	d.mesh.Attend(kind.StageOrder, func(ctx context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.Order
		if err := proto.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		o, err := decodeOrder(&in, time.Now())
		if err != nil {
			return nil, err
		}
		ready, err := d.local.Order(ctx, o)
		return proto.Marshal(encodeOutcome(ready, err))
	})
	d.mesh.Handle(kind.StageNews, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.News
		if err := proto.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		d.local.Started(in.Started)
		d.local.Ended(in.Ended)
		return proto.Marshal(&stagepb.News{})
	})
}

func encodeOrder(r proxy.Round) *stagepb.Order {
	c := r.Call
	o := &stagepb.Order{
		Id: nameOf(r), Request: c.ID, Key: c.Key, Rank: uint32(c.Urgency()), GoalMs: time.Until(c.Goal).Milliseconds(),
		DeadlineMs: uint64(max(0, time.Until(c.Deadline).Milliseconds())), Service: c.Service,
		Tried: r.Tried,
	}
	if c.Staged() {
		for i, s := range c.Route.Stages {
			stage := &stagepb.Stage{Service: s.Service, Bytes: uint64(s.Bytes), Pieces: uint32(c.Pieces[i])}
			for _, a := range s.After {
				stage.After = append(stage.After, uint32(a))
			}
			o.Stages = append(o.Stages, stage)
		}
	}
	for _, p := range c.Prompt {
		o.Prompt = append(o.Prompt, &stagepb.Part{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return o
}

func decodeOrder(in *stagepb.Order, now time.Time) (gatherer.Order, error) {
	o := gatherer.Order{ID: in.Id, Request: in.Request, Service: in.Service, Tried: in.Tried}
	for _, p := range in.Prompt {
		o.Prompt = append(o.Prompt, call.Part{ID: p.Id, Tokens: int(p.Tokens)})
	}
	if len(in.Stages) == 0 {
		return o, nil
	}
	stages := make([]catalog.Stage, len(in.Stages))
	pieces := make([]int, len(in.Stages))
	total := 0
	for i, s := range in.Stages {
		stages[i] = catalog.Stage{Service: s.Service, Bytes: int64(s.Bytes)}
		for _, a := range s.After {
			if int(a) >= i {
				return gatherer.Order{}, fmt.Errorf("order %s: stage %d: got stage %d before it, want an earlier one", in.Id, i, a)
			}
			stages[i].After = append(stages[i].After, int(a))
		}
		pieces[i] = int(s.Pieces)
		if total += pieces[i]; total > mostPieces {
			return gatherer.Order{}, fmt.Errorf("order %s: got more than %d pieces", in.Id, mostPieces)
		}
	}
	goal := now.Add(bounded(time.Duration(in.GoalMs) * time.Millisecond))
	deadline := now.Add(bounded(time.Duration(in.DeadlineMs) * time.Millisecond))
	o.Job = job.New(in.Id, in.Request, in.Key, stages, pieces, int(in.Rank), goal, deadline)
	return o, nil
}

func bounded(d time.Duration) time.Duration { return max(-mostLeft, min(mostLeft, d)) }

func encodeOutcome(r gatherer.Ready, err error) *stagepb.Outcome {
	if err != nil {
		bad := fault.From(err)
		return &stagepb.Outcome{Code: uint32(bad.Code), Reason: bad.Detail, AfterMs: uint32(bad.After.Milliseconds())}
	}
	return &stagepb.Outcome{Handles: r.Handles, Engine: r.Engine}
}
