package desk

// This file finds out which instance gathers.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/witness"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/stage/cpuspeed"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	askEvery = 300 * time.Millisecond // between two questions to the candidates
	askOther = 4                      // every how many questions to the leader the other candidates are asked
	askLimit = 400 * time.Millisecond // of one question
	askSoon  = 60 * time.Millisecond  // between questions while this instance settles
	// settle is how long an instance that could gather waits to hear of another
	// one: two questions, and the time within which a store that is back answers
	// all instances.
	settle = 600 * time.Millisecond
	// hear is how long it waits at least to hear of all: two questions and their
	// answers, since the first that answers may not be the one that all follow.
	hear = 150 * time.Millisecond
)

// Run asks the candidates until the context ends. Until this instance could
// gather itself it asks now and then; from then on it settles: it asks often, and
// its orders wait until it has heard of another one to follow or the time is over.
// Many that become fit at the same moment, since the store is back, would each
// gather for itself otherwise.
func (d *Desk) Run(ctx context.Context) {
	go d.local.Run(ctx)
	var since time.Time // that it could gather, or follow one that does; zero before
	var p cpuspeed.Detector
	for round := 0; ctx.Err() == nil; round++ {
		now, fit := time.Now(), d.fit()
		if since.IsZero() && (fit || d.follows()) {
			since = now
		}
		settling := since.IsZero() || now.Sub(since) <= hear || now.Sub(since) <= settle && !d.follows()
		d.election.SetState(fit, d.doubts() || d.slows(&p))
		d.askAll(ctx, round%askOther == 0 || !d.follows() || settling)
		d.follow(now)
		if !settling {
			d.settled()
			d.election.Claim(now)
		}
		d.rest(ctx, fit, settling)
	}
}

// rest waits for the next round, which comes soon while this instance settles,
// and once it becomes fit.
func (d *Desk) rest(ctx context.Context, fit, settling bool) {
	switch {
	case !fit:
		for range askEvery / askSoon {
			if !pause.For(ctx, askSoon) || d.fit() {
				return
			}
		}
	case settling:
		pause.For(ctx, askSoon)
	default:
		pause.For(ctx, askEvery)
	}
}

// doubts reports whether others may be better placed to gather: this instance
// is cut off from the store or from the endpoints.
func (d *Desk) doubts() bool {
	own, known := d.proof.At()
	return !known || d.lag.Behind(own, d.proof.Now()) || !d.reaches()
}

// slows measures the processor, and reports whether it is slow.
func (d *Desk) slows(p *cpuspeed.Detector) bool {
	before := p.Slow()
	p.Observe(cpuspeed.Probe())
	if p.Slow() != before {
		d.log.Info("processor changed its pace", "slow", p.Slow(), "factor", p.Slowdown())
	}
	return p.Slow()
}

// hear takes in the proof of an instance that was asked, or that asked, at a
// moment.
func (d *Desk) hear(roll *stagepb.Roll, asked time.Duration) (at time.Duration, ok bool) {
	if roll.Revision == 0 {
		return 0, false
	}
	at = asked - time.Duration(roll.ProofMs)*time.Millisecond
	d.lag.Observe(at)
	return at, true
}

// follows reports whether this instance follows another one.
func (d *Desk) follows() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader != "" && d.leader != d.self
}

// askAll asks those who have answered the last question, or left it unanswered
// for too long, so that one that is silent does not hold up the others.
func (d *Desk) askAll(ctx context.Context, others bool) {
	for _, address := range d.election.Ask(d.working(), others, time.Now()) {
		if _, asked := d.asked.LoadOrStore(address, true); !asked {
			go func() {
				defer d.asked.Delete(address)
				d.askOne(ctx, address)
			}()
		}
	}
}

func (d *Desk) askOne(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	own, roll := d.roll(time.Now()), new(stagepb.Roll)
	asked := d.proof.Now()
	if _, err := d.mesh.Call(ctx, address, kind.StageRoll, own, roll); err != nil {
		d.election.Failed(address)
		return
	}
	now := time.Now()
	d.election.Answered(address, decodeRoll(roll, now), now)
	if at, ok := d.hear(roll, asked); ok && d.election.Leader(now) == address {
		changes, known := decodeChanges(roll.Changes)
		d.witness.Hear(witness.News{
			Revision: roll.Revision, At: at, Changes: changes, After: own.Revision, Told: roll.Told && known,
		})
	}
}

// follow notes a change of the instance that gathers, and gives up what was
// asked of one that fell silent.
func (d *Desk) follow(now time.Time) {
	leader := d.election.Leader(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader != d.leader {
		d.log.Info("following another gathering instance", "leader", leader, "before", d.leader)
		d.leader = leader
		d.witness.Forget()
	}
	for address, r := range d.remotes {
		if r.open.Load() > 0 && d.election.Silent(address, now) {
			r.lose()
			delete(d.remotes, address)
		}
	}
}

// working returns the instances that work on orders of this one.
func (d *Desk) working() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for address, r := range d.remotes {
		if r.open.Load() > 0 {
			list = append(list, address)
		}
	}
	return list
}

// roll is what this instance tells others.
func (d *Desk) roll(now time.Time) *stagepb.Roll {
	roll := new(stagepb.Roll)
	if age, ok := d.proof.Age(); ok {
		roll.Revision = d.revision()
		roll.ProofMs = uint32(age.Milliseconds()) + 1
	}
	for _, c := range d.election.Tell(now) {
		roll.Candidates = append(roll.Candidates, &stagepb.Candidate{
			Address: c.Address, Power: uint32(c.Power), AgeMs: uint32(now.Sub(c.Heard).Milliseconds()), Fit: c.Fit, Since: c.Since,
			Doubt: c.Doubt, Leads: c.Leads,
		})
	}
	return roll
}

func decodeRoll(roll *stagepb.Roll, now time.Time) []election.Candidate {
	list := make([]election.Candidate, 0, len(roll.Candidates))
	for _, c := range roll.Candidates {
		list = append(list, election.Candidate{
			Address: c.Address, Power: int(c.Power), Fit: c.Fit, Since: c.Since, Doubt: c.Doubt, Leads: c.Leads,
			Heard: now.Add(-bounded(time.Duration(c.AgeMs) * time.Millisecond)),
		})
	}
	return list
}
