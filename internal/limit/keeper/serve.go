package keeper

// This file lends units to peers.

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
)

// AnswerTake handles kind.LimitTake.
func (k *Keeper) AnswerTake(_ context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var q limitpb.Take
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	now := time.Now()
	epoch, version := k.tables.Pair()
	out := &limitpb.Taken{Epoch: epoch, Version: version, Newest: k.meet(from)}
	out.First = k.isFirst(from.Seat, now)
	if q.Account != "" {
		out.Verdict = k.lend(&q, now)
	} else {
		out.Shifts = k.shifts()
	}
	return proto.Marshal(out)
}

// meet notes who holds a seat and returns the latest incarnation known for it.
func (k *Keeper) meet(from identity.Identity) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if from.Seat < 0 {
		return 0
	}
	k.note(from)
	newest := k.newest[from.Seat]
	if from.Seat == k.self.Seat {
		newest = max(newest, k.self.Incarnation)
		k.gate.RecordIncarnation(newest, time.Time{})
	}
	return newest
}

// note remembers the latest incarnation in a seat, and whether it followed another.
func (k *Keeper) note(from identity.Identity) {
	if known := k.newest[from.Seat]; known != 0 && known != from.Incarnation {
		k.followed[from.Seat] = true
	}
	k.newest[from.Seat] = max(k.newest[from.Seat], from.Incarnation)
}

// isFirst reports whether this process takes part in a first start and has met
// one process at most in a seat.
func (k *Keeper) isFirst(seat int, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.InFirstStart(now) && !k.followed[seat]
}

func (k *Keeper) shifts() []*limitpb.Shift {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*limitpb.Shift
	for _, s := range k.gate.Resizes() {
		out = append(out, &limitpb.Shift{Seats: uint32(s.OldSeats), Epoch: s.Epoch, Version: s.Version})
	}
	return out
}

// lend subtracts a unit here before the peer may use it, and takes it back by
// itself only after the peer's permit has expired and a margin has passed.
func (k *Keeper) lend(q *limitpb.Take, now time.Time) (v limitpb.Verdict) {
	row := k.row(q.Account)
	if row == nil {
		return limitpb.Verdict_VERDICT_NONE
	}
	k.locked(q.Account, func(st *standing) {
		if q.Life == 0 && row.Rate == 0 || q.Life > 0 && row.Cap == 0 {
			v = limitpb.Verdict_VERDICT_GRANTED // the limit has been lifted
			return
		}
		if q.Life == 0 {
			drawn, here := k.draw(st, row, now)
			v = k.verdict(drawn, here, now)
			return
		}
		n, _ := k.here(&st.cap, q.Account, row.Cap, now)
		until := now.Add(time.Duration(q.Life)*time.Millisecond + margin)
		v = k.verdict(st.share.Lend(q.Permit, n, until, now), n, now)
	})
	return v
}

func (k *Keeper) verdict(granted bool, here int, now time.Time) limitpb.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !k.gate.Open(now):
		return limitpb.Verdict_VERDICT_CLOSED
	case granted:
		return limitpb.Verdict_VERDICT_GRANTED
	case here == 0:
		return limitpb.Verdict_VERDICT_NONE
	default:
		return limitpb.Verdict_VERDICT_BUSY
	}
}

// AnswerGive handles kind.LimitGive.
func (k *Keeper) AnswerGive(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
	var q limitpb.Give
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	k.locked(q.Account, func(st *standing) { st.share.Return(q.Permit, time.Now()) })
	return proto.Marshal(new(limitpb.Given))
}
