package forwarder

// This file polls other instances, and tells a coordinator that is late from one that is lost.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	pollTimeout = 400 * time.Millisecond
	// leaderPollTimeout is pollTimeout for the coordinator, which is pinged once pollTimeout has passed: one
	// that is late is not lost. Both end before it counts as lost.
	leaderPollTimeout = 850 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	latePingInterval  = 150 * time.Millisecond // between pings of a coordinator that is late
	// clearanceTellTime is how long a new coordinator is told the clearances that others have told too.
	clearanceTellTime = 3 * time.Second
)

// poll polls the leader and the active coordinators, and with all set the other
// candidates too, each in a goroutine, so that one that does not answer delays no
// other. It skips those whose last poll has neither been answered nor timed out.
func (f *Forwarder) poll(ctx context.Context, all bool) {
	for _, address := range f.election.PollTargets(f.activeCoordinators(), all, time.Now()) {
		if _, pending := f.polling.LoadOrStore(address, true); !pending {
			go func() {
				defer f.polling.Delete(address)
				contain.Do(f.log, "poll of a peer", func() { f.pollOne(ctx, address) })
			}()
		}
	}
}

// pollOne exchanges rolls with the instance at address and records the answer, or that there was none.
func (f *Forwarder) pollOne(ctx context.Context, address string) {
	start, timeout := time.Now(), pollTimeout
	follows := f.currentLeader() == address
	if follows {
		timeout = leaderPollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if follows {
		late := time.AfterFunc(pollTimeout, func() { contain.Do(f.log, "ping of the coordinator", func() { f.checkLate(ctx, address) }) })
		defer late.Stop()
	}
	own, roll := f.newPoll(start, follows), new(stagepb.Roll)
	pollTime := f.freshness.Now()
	_, err := f.transport.Call(ctx, address, method.StageRoll, own, roll)
	alive := err == nil || f.isPollLate(address, follows)
	if follows {
		f.workload.PollEnded(time.Since(start))
		if alive {
			f.observeLateness(time.Since(start))
		}
	}
	switch {
	case !alive:
		f.election.RecordFailure(address)
	case err == nil:
		f.recordPolled(address, own, roll, pollTime)
	}
}

// newPoll returns the roll that is sent in a poll.
func (f *Forwarder) newPoll(now time.Time, follows bool) *stagepb.Roll {
	if follows && f.followsFor(now) >= clearanceTellTime {
		// The coordinator has told the others, and would have to read them in the polls of all instances.
		return f.newRoll(now, f.quarantine.OwnClearances(now))
	}
	return f.newRoll(now, f.quarantine.Clearances(now))
}

// isPollLate reports whether the instance, which has not answered a poll, is a coordinator that is late and stays
// followed.
func (f *Forwarder) isPollLate(address string, follows bool) bool {
	if !follows {
		f.pingCoordinator(address)
		return false
	}
	c := f.knownCoordinator(address)
	return c != nil && c.isAlive(time.Now())
}

// recordPolled records the answer to a poll. If that instance is the leader, its confirmation and the changes of
// the store that it sent are reported to peerStatus.
func (f *Forwarder) recordPolled(address string, own, roll *stagepb.Roll, pollTime time.Duration) {
	if c := f.knownCoordinator(address); c != nil {
		c.silent.Store(0)
	}
	now := time.Now()
	f.election.RecordAnswer(address, decodeRoll(roll, now), now)
	f.heard.CompareAndSwap(0, now.UnixNano())
	if f.election.Leader(now) == address {
		f.learnRelays(roll.Relays, now)
		f.hintPaths(roll.Doubtful, now)
		f.prepareToLead(roll)
		f.quarantine.LearnSuspects(decodeSuspects(roll.Suspects, now), now)
	}
	if at, ok := f.recordConfirmation(roll, pollTime); ok && f.election.Leader(now) == address {
		changes, known := decodeChanges(roll.Changes)
		f.peerStatus.Set(peerstatus.Report{
			Position: positionOf(roll), Version: roll.Version, ConfirmedAt: at, Changes: changes, After: positionOf(own), Complete: roll.Told && known,
			Drained: roll.Drains.GetCentres(), DrainedUnknown: roll.Drains == nil,
		})
	}
}

// checkLate records that the coordinator is late, as long as its process is alive: it stays followed, and gets
// fewer orders. The context is that of the poll that it has not answered.
func (f *Forwarder) checkLate(ctx context.Context, address string) {
	f.remoteCoordinator(address)
	for first := true; ctx.Err() == nil && f.pingCoordinator(address); first = false {
		f.election.RecordAlive(address, time.Now())
		if first {
			f.observeLateness(pollTimeout)
		}
		pause.For(ctx, latePingInterval)
	}
}

// observeLateness records how long the coordinator takes to answer a poll, and logs when orders begin to be
// refused for it, and when none is any more.
func (f *Forwarder) observeLateness(took time.Duration) {
	if before, after := f.shedder.Observe(took); (before == 0) != (after == 0) {
		f.log.Info("orders for a late coordinator", "leader", f.currentLeader(), "poll", took.String(), "refused", after)
	}
}

// knownCoordinator returns the state kept for the instance at address, or nil.
func (f *Forwarder) knownCoordinator(address string) *remoteCoordinator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinators[address]
}

// pingCoordinator records and reports whether an instance that did not answer a poll, and that this instance
// follows or has orders at, is alive. One that has been silent for maxSilence counts as lost.
func (f *Forwarder) pingCoordinator(address string) (alive bool) {
	c := f.knownCoordinator(address)
	if c == nil || c.inFlight.Load() == 0 && f.currentLeader() != address {
		return false
	}
	c.silent.CompareAndSwap(0, time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(c.ctx, pingTimeout)
	defer cancel()
	if !f.transport.Ping(ctx, address) {
		return false
	}
	now := time.Now()
	c.alive.Store(now.UnixNano())
	f.log.Info("coordinator is alive but does not answer polls", "leader", address, "orders", c.inFlight.Load())
	return c.isAlive(now)
}
