package keeper

// This file asks witnesses: the holders of other seats, who know whether a
// later process has this one, and which table they follow.

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/limit/seatstate"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
)

const (
	probeEvery = 2 * time.Second
	startEvery = 300 * time.Millisecond // between rounds while a first start may be under way
	witnesses  = 3
	mostProbes = 16 // a round
)

// Run keeps the seat in use until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	tick := time.NewTicker(startEvery)
	defer tick.Stop()
	for round := 0; ; round++ {
		tick.Reset(k.every(time.Now()))
		var probes sync.WaitGroup
		for _, seat := range k.probes(round) {
			probes.Go(func() { k.probe(ctx, seat) })
		}
		probes.Wait()
		k.settle(time.Now())
		k.forget(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// every returns the time to the next round.
func (k *Keeper) every(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gate.AwaitsFirstStart(now) {
		return startEvery
	}
	return probeEvery
}

// probes returns the seats to ask in a round: the three next ones, three more
// that change from round to round where those may be gone, and the seats whose
// word is wanted after a change of the seat count.
func (k *Keeper) probes(round int) []int {
	table := k.tables.Current()
	if table == nil || k.self.Seat < 0 {
		return nil
	}
	seats := table.Policy.Seats
	var ask []int
	for i := range min(witnesses, seats-1) {
		ask = append(ask, (k.self.Seat+1+i)%seats)
	}
	if seats > 2*witnesses {
		ask = append(ask, (k.self.Seat+1+witnesses+round%(seats-witnesses-1))%seats)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gate.AwaitsFirstStart(time.Now()) {
		ask = ask[:0]
		for i := range min(mostProbes, seats-1) {
			ask = append(ask, (k.self.Seat+1+(round*mostProbes+i)%(seats-1))%seats)
		}
	}
	pending := k.gate.UnconfirmedSeats()
	return append(ask, pending[:min(len(pending), mostProbes)]...)
}

func (k *Keeper) probe(ctx context.Context, seat int) {
	address, ok := k.find(seat)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	var got limitpb.Taken
	from, err := k.peers.Call(ctx, address, kind.LimitTake, new(limitpb.Take), &got)
	if err != nil {
		return
	}
	k.learn(from, &got, asked)
}

// learn takes in what an answer says beside its verdict.
func (k *Keeper) learn(from identity.Identity, got *limitpb.Taken, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if from.Seat >= 0 {
		k.note(from)
		k.gate.RecordFirstStart(from.Seat, got.First)
		k.gate.ConfirmTable(from.Seat, got.Epoch, got.Version, time.Now())
	}
	for _, s := range got.Shifts {
		k.gate.AddResize(seatstate.Resize{OldSeats: int(s.Seats), Epoch: s.Epoch, Version: s.Version})
	}
	if k.self.Seat >= 0 {
		k.gate.RecordIncarnation(max(got.Newest, k.newest[k.self.Seat]), asked)
	}
}

// settle releases rested units and logs when the seat opens or closes.
func (k *Keeper) settle(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.ReleaseUnits(now)
	if open := k.gate.Open(now); open != k.open {
		k.open = open
		k.log.Info("seat", "seat", k.self.Seat, "open", open, "replaced", k.gate.Replaced())
	}
}

// Open reports whether the units of this process's seat are in use.
func (k *Keeper) Open() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Open(time.Now())
}
