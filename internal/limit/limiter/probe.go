package limiter

// This file probes the holders of other seats. They know whether a later process
// holds this process's seat, and say which table they follow.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/limit/seatstate"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
)

const (
	probeInterval      = 2 * time.Second
	firstStartInterval = 300 * time.Millisecond // between rounds while a first start of the fleet may be under way
	nextSeats          = 3                      // seats after this one that every round probes
	maxProbes          = 16                     // at most this many seats are probed in a round for a first start, and as many for a change of the number of seats
)

// Run probes peers at intervals, which keeps the seat open, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	tick := time.NewTicker(firstStartInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		tick.Reset(l.interval(time.Now()))
		var probes sync.WaitGroup
		for _, seat := range l.probeTargets(round) {
			probes.Go(func() { l.probe(ctx, seat) })
		}
		probes.Wait()
		l.updateOpen(time.Now())
		l.dropIdle(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time from this round of probes to the next.
func (l *Limiter) interval(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seat.AwaitsFirstStart(now) {
		return firstStartInterval
	}
	return probeInterval
}

// probeTargets returns the seats to probe in a round: the nextSeats seats after
// this one; another that changes from round to round, in case the holders of
// those are down; and the seats that have yet to confirm a change of the number
// of seats. While a first start may be under way, all other seats are probed
// instead of the first two groups, maxProbes a round.
func (l *Limiter) probeTargets(round int) []int {
	table := l.tables.Current()
	if table == nil || l.self.Seat < 0 {
		return nil
	}
	seats := table.Policy.Seats
	var targets []int
	for i := range min(nextSeats, seats-1) {
		targets = append(targets, (l.self.Seat+1+i)%seats)
	}
	if seats > 2*nextSeats {
		targets = append(targets, (l.self.Seat+1+nextSeats+round%(seats-nextSeats-1))%seats)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seat.AwaitsFirstStart(time.Now()) {
		targets = targets[:0]
		for i := range min(maxProbes, seats-1) {
			targets = append(targets, (l.self.Seat+1+(round*maxProbes+i)%(seats-1))%seats)
		}
	}
	pending := l.seat.UnconfirmedSeats()
	return append(targets, pending[:min(len(pending), maxProbes)]...)
}

func (l *Limiter) probe(ctx context.Context, seat int) {
	address, ok := l.find(seat)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	var got limitpb.Taken
	from, err := l.peers.Call(ctx, address, method.LimitTake, new(limitpb.Take), &got)
	if err != nil {
		return
	}
	l.recordAnswer(from, &got, asked)
}

// recordAnswer records what a peer's answer to a call sent at the given time
// says about the peer and about this process's seat. It ignores the verdict.
func (l *Limiter) recordAnswer(from identity.Identity, got *limitpb.Taken, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.Seat >= 0 {
		l.recordIncarnation(from)
		l.seat.RecordFirstStart(from.Seat, got.First)
		l.seat.ConfirmTable(from.Seat, got.Epoch, got.Version, time.Now())
	}
	for _, s := range got.Shifts {
		l.seat.AddResize(seatstate.Resize{OldSeats: int(s.Seats), Epoch: s.Epoch, Version: s.Version})
	}
	if l.self.Seat >= 0 {
		l.seat.RecordIncarnation(max(got.Newest, l.newest[l.self.Seat]), asked)
	}
}

// updateOpen releases the units whose wait has ended, and logs when the seat
// opens or closes.
func (l *Limiter) updateOpen(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seat.ReleaseUnits(now)
	if open := l.seat.Open(now); open != l.open {
		l.open = open
		l.log.Info("seat for account limits opened or closed", "seat", l.self.Seat, "open", open, "replaced", l.seat.Replaced())
	}
}

// Open reports whether this process may use the units of its seat now.
func (l *Limiter) Open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.Open(time.Now())
}
