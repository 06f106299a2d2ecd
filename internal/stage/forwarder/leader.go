package forwarder

// This file polls the candidates and follows the one that is elected coordinator.

import (
	"context"
	"math"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/watcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/cpuspeed"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	pollInterval      = 300 * time.Millisecond
	roundsPerFullPoll = 4                     // rounds in between poll the leader and the active coordinators only
	settlingInterval  = 60 * time.Millisecond // between polls while this instance settles
	// catchUpTime is how long an instance is told all that others know, from the first answer
	// to one of its polls. It covers the polls of several instances.
	catchUpTime = 5 * time.Second
	// maxSettling is how long an eligible instance waits at most to find another one
	// to follow. It covers two polls, and the time within which a store that has recovered
	// answers all instances.
	maxSettling = 600 * time.Millisecond
	// minSettling is how long it waits at least, also after the first answer. It covers two polls and their
	// answers, since the first candidate that answers may not be the one that all others follow.
	minSettling = 150 * time.Millisecond
)

// Run runs the local coordinator and polls the candidates until the context ends.
//
// Once this instance is eligible, or follows another one, it settles: for a short
// time it polls more often, and its orders wait until it follows another instance
// or maxSettling is over. Otherwise many instances that become eligible at the same
// moment, as when the store recovers, would each act as coordinator for themselves.
func (f *Forwarder) Run(ctx context.Context) {
	go contain.Loop(ctx, f.log, "coordinator", f.local.Run)
	go contain.Loop(ctx, f.log, "reports of the load", f.workload.Run)
	var since time.Time // when this instance was first eligible or followed another one; zero before
	var processor cpuspeed.Detector
	for round := 0; ctx.Err() == nil; round++ {
		now, eligible := time.Now(), f.eligible()
		if since.IsZero() && (eligible || f.followsPeer()) {
			since = now
		}
		settling := since.IsZero() || f.settling(since, now)
		f.election.SetState(eligible, f.degraded() || f.processorSlow(&processor))
		f.poll(ctx, round%roundsPerFullPoll == 0 || !f.followsPeer() || settling)
		if f.updateLeader(now) {
			f.tellLosses(f.election.Leader(now), now)
		}
		f.updateKeepers(now)
		f.updateRelays(now)
		f.updateShare(now)
		f.notices.EndWarmUps(now)
		f.judge()
		if !settling {
			f.markSettled()
			f.election.UpdateClaim(now)
		}
		f.waitForNextRound(ctx, eligible, settling)
	}
}

// settling reports whether this instance, which was first eligible or followed another one at the time since,
// may still find one that it should follow.
func (f *Forwarder) settling(since, now time.Time) bool {
	switch age := now.Sub(since); {
	case age <= minSettling:
		return true
	case age > maxSettling:
		return false
	case now.Sub(time.Unix(0, f.heard.Load())) <= minSettling:
		return true
	default:
		return !f.followsPeer() && !f.followed.Load()
	}
}

// waitForNextRound waits until the next poll round or the end of the context. An
// instance that is not eligible waits for pollInterval or until it becomes eligible;
// an eligible one waits for settlingInterval while it settles and for pollInterval
// afterwards.
func (f *Forwarder) waitForNextRound(ctx context.Context, eligible, settling bool) {
	switch {
	case !eligible:
		for range pollInterval / settlingInterval {
			if !pause.For(ctx, settlingInterval) || f.eligible() {
				return
			}
		}
	case settling:
		pause.For(ctx, settlingInterval)
	default:
		pause.For(ctx, pollInterval)
	}
}

// degraded reports whether other instances may be better suited as coordinator,
// since this one is cut off from the store or from the endpoints of stages.
func (f *Forwarder) degraded() bool {
	own, known := f.freshness.ConfirmedAt()
	return !known || f.storeLag.Behind(own, f.freshness.Now()) || !f.reachesEndpoints()
}

// processorSlow measures the processor once and reports whether it is slow: on a slow
// coordinator the stage work of all instances would be late.
func (f *Forwarder) processorSlow(d *cpuspeed.Detector) bool {
	before := d.Slow()
	d.Observe(cpuspeed.Probe())
	if d.Slow() != before {
		f.log.Info("processor changed its pace", "slow", d.Slow(), "factor", d.Slowdown())
	}
	return d.Slow()
}

// recordConfirmation records what a peer knows, and when it last confirmed with the
// store that it knows the newest position. The peer's roll gives the age of this
// confirmation; the roll was requested or received at the time pollTime of this
// instance's boot clock. recordConfirmation returns the time of the confirmation by
// that clock, and false if the peer has none.
func (f *Forwarder) recordConfirmation(roll *stagepb.Roll, pollTime time.Duration) (at time.Duration, ok bool) {
	known := peerstatus.Known{Version: roll.Version, Era: roll.Era}
	if roll.EraMs > 0 {
		// By the time of arrival, so that the era is never taken for older than it is.
		known.EraBeganBy = f.freshness.Now() - time.Duration(roll.EraMs)*time.Millisecond
	}
	f.learnClearances(roll.Clearances)
	f.mergeHeld(roll.Held)
	f.notices.Learn(roll.Leaving) // before Observe, which lets a starting instance serve requests with keys
	now := time.Now()
	f.notices.LearnLimits(decodeLimits(roll.Limits, now))
	f.notices.LearnStarts(decodeStarts(roll.StartOutcomes, now))
	f.learnDeparted(roll.Departed, now)
	f.fleet.RecordSize(int(roll.Fleet), time.Duration(roll.FleetMs)*time.Millisecond, now)
	f.peerStatus.Observe(known)
	if roll.Revision == 0 {
		return 0, false
	}
	if roll.Drains != nil {
		f.peerStatus.SetDrained(peerstatus.Drained{Centres: roll.Drains.Centres, Position: positionOf(roll)})
	}
	at = pollTime - time.Duration(roll.ProofMs)*time.Millisecond
	f.storeLag.Observe(at)
	return at, true
}

// starting reports whether this instance may have missed what others were told before it
// started.
func (f *Forwarder) starting(now time.Time) bool {
	heard := f.heard.Load()
	return heard == 0 || now.Sub(time.Unix(0, heard)) < catchUpTime
}

// currentLeader returns the address of the instance that this one follows; empty if it has not
// chosen one yet.
func (f *Forwarder) currentLeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// followsFor returns how long this instance has followed the one that it follows now.
func (f *Forwarder) followsFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.followsSince)
}

// followsPeer reports whether this instance follows another one.
func (f *Forwarder) followsPeer() bool {
	leader := f.currentLeader()
	return leader != "" && leader != f.self
}

// updateLeader records and logs a change of the leader, and cancels the calls to
// coordinators that no longer answer polls, unless their process is alive. It reports
// whether the leader changed.
func (f *Forwarder) updateLeader(now time.Time) (changed bool) {
	leader := f.election.Leader(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed = leader != f.leader; changed {
		f.log.Info("following another gathering instance", "leader", leader, "before", f.leader)
		f.leader, f.followsSince, f.leadsSince = leader, now, time.Time{}
		if leader == f.self {
			f.leadsSince = now
			f.checkPaths() // it may not have needed them as a follower
		}
		f.peerStatus.Clear()
		f.shedder.Reset()
	}
	for address, c := range f.coordinators {
		if c.inFlight.Load() > 0 && f.election.TimedOut(address, now) && !c.isAlive(now) {
			c.cancel()
			delete(f.coordinators, address)
		}
	}
	return changed
}

// activeCoordinators returns the addresses of the instances that work on orders of
// this one.
func (f *Forwarder) activeCoordinators() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for address, c := range f.coordinators {
		if c.inFlight.Load() > 0 {
			list = append(list, address)
		}
	}
	return list
}

// newRoll returns the roll with the given clearances, which is the message that an instance sends in a poll and in
// the answer to one: the candidates that it knows, the position of the store that it
// knows, and the age of the last confirmation that this position was the newest. The age
// is rounded up, so that a peer never takes the confirmation for newer than it is; that
// of the store's return is rounded down, for the same reason.
func (f *Forwarder) newRoll(now time.Time, clearances []quarantine.Clearance) *stagepb.Roll {
	age, confirmed := f.freshness.Age() // before the status, which may be newer
	status := f.status()
	size, counted := f.fleet.Size(now)
	roll := &stagepb.Roll{
		Era: status.Position.Era, Version: max(status.Version, f.peerStatus.Fleet().Version), Leaving: f.notices.Recent(),
		Held: encodeHeld(f.quarantine.Groups(now)), Limits: encodeLimits(f.notices.RecentLimits(), now), StartOutcomes: encodeStarts(f.notices.RecentStarts(), now),
		Leader: f.currentLeader(), Fleet: uint32(size), FleetMs: uint32(counted.Milliseconds()), Starting: f.starting(now),
		Suspects: encodeSuspects(f.quarantine.Suspects(), now), Clearances: encodeClearances(clearances, now),
	}
	roll.Drains = &stagepb.Drains{Centres: status.Drained}
	own := f.relay()
	roll.Relay, roll.Centre, roll.Unreachable = own.Address, own.Centre, f.unreachable()
	if confirmed {
		roll.Revision = status.Position.Revision
		roll.ProofMs = uint32(age.Milliseconds()) + 1
	}
	if status.RestoredAt > 0 {
		roll.RestoredMs = uint32(max(1, (f.freshness.Now() - status.RestoredAt).Milliseconds()))
	}
	if began, ok := f.eraBeganBy(status); ok {
		roll.EraMs = uint32(min(math.MaxUint32, (f.freshness.Now() - began).Milliseconds()))
	}
	for _, c := range f.election.Candidates(now) {
		roll.Candidates = append(roll.Candidates, &stagepb.Candidate{
			Address: c.Address, Power: uint32(c.MilliCPU), AgeMs: uint32(now.Sub(c.LastSeen).Milliseconds()), Fit: c.Eligible, Since: c.StartTime,
			Doubt: c.Degraded, Leads: c.LeaderSince, UptimeMs: encodeUptime(c.Started, now),
		})
	}
	return roll
}

// eraBeganBy returns when the era of the store had begun already, as this instance saw or
// others told, by the boot clock. It returns false if that is not known.
func (f *Forwarder) eraBeganBy(status watcher.Status) (at time.Duration, ok bool) {
	at = status.EraBeganBy
	if told := f.peerStatus.Fleet(); told.Era == status.Position.Era && told.EraBeganBy > 0 && (at == 0 || told.EraBeganBy < at) {
		at = told.EraBeganBy
	}
	return at, at > 0
}

// encodeUptime returns the milliseconds since the start of a process; zero if it is not known.
func encodeUptime(started, now time.Time) uint64 {
	if started.IsZero() {
		return 0
	}
	return uint64(max(1, now.Sub(started).Milliseconds()))
}

// decodeUptime returns when a process started that reports its uptime at the time now; the zero time if it does not.
func decodeUptime(ms uint64, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-clamp(time.Duration(ms) * time.Millisecond))
}

// decodeRoll returns the candidates of a roll that was received at the time now. The
// time of the last contact is sent as an age, so that clocks need not agree.
func decodeRoll(roll *stagepb.Roll, now time.Time) []election.Candidate {
	list := make([]election.Candidate, 0, len(roll.Candidates))
	for _, c := range roll.Candidates {
		list = append(list, election.Candidate{
			Address: c.Address, MilliCPU: int(c.Power), Eligible: c.Fit, StartTime: c.Since, Degraded: c.Doubt, LeaderSince: c.Leads, Started: decodeUptime(c.UptimeMs, now),
			LastSeen: now.Add(-clamp(time.Duration(c.AgeMs) * time.Millisecond)),
		})
	}
	return list
}
