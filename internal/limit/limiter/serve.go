package limiter

// This file handles the calls of peers: it lends them units and takes them back.

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
)

// HandleTake handles method.LimitTake: a request for a permit or, without an
// account, a probe.
func (l *Limiter) HandleTake(_ context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var q limitpb.Take
	if err := encoding.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	now := time.Now()
	epoch, version := l.tables.Version()
	out := &limitpb.Taken{Epoch: epoch, Version: version, Newest: l.recordPeer(from)}
	out.First = l.inFirstStart(from.Seat, now)
	if q.Account != "" {
		out.Verdict = l.lend(&q, now)
	} else {
		out.Shifts = l.resizes()
	}
	return proto.Marshal(out)
}

// recordPeer records the incarnation of a peer and returns the newest incarnation
// known for the peer's seat, or 0 for a peer without a seat. If a newer peer has
// this process's own seat, this process learns here that it has been replaced.
func (l *Limiter) recordPeer(from identity.Identity) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.Seat < 0 {
		return 0
	}
	l.recordIncarnation(from)
	newest := l.newest[from.Seat]
	if from.Seat == l.self.Seat {
		newest = max(newest, l.self.Incarnation)
		l.seat.RecordIncarnation(newest, time.Time{})
	}
	return newest
}

// recordIncarnation records the newest incarnation in a seat, and whether more
// than one has been seen there. The caller holds l.mu.
func (l *Limiter) recordIncarnation(from identity.Identity) {
	if known := l.newest[from.Seat]; known != 0 && known != from.Incarnation {
		l.replaced[from.Seat] = true
	}
	l.newest[from.Seat] = max(l.newest[from.Seat], from.Incarnation)
}

// inFirstStart reports whether this process takes part in a first start of the
// fleet and has seen at most one process in the given seat.
func (l *Limiter) inFirstStart(seat int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.InFirstStart(now) && !l.replaced[seat]
}

func (l *Limiter) resizes() []*limitpb.Shift {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*limitpb.Shift
	for _, s := range l.seat.Resizes() {
		out = append(out, &limitpb.Shift{Seats: uint32(s.OldSeats), Epoch: s.Epoch, Version: s.Version})
	}
	return out
}

// lend marks a unit as lent before the peer may use it. Unless the peer returns
// it, the unit becomes free only clockMargin after the peer's permit has expired,
// so that both never use it at once. A request with a Life of zero is for a token
// of the rate, which is spent and not returned.
func (l *Limiter) lend(q *limitpb.Take, now time.Time) (v limitpb.Verdict) {
	row := l.row(q.Account)
	if row == nil {
		return limitpb.Verdict_VERDICT_NONE
	}
	l.withAccount(q.Account, func(st *accountState) {
		if q.Life == 0 && row.Rate == 0 || q.Life > 0 && row.Cap == 0 {
			v = limitpb.Verdict_VERDICT_GRANTED // the table in force here no longer has this limit
			return
		}
		if q.Life == 0 {
			taken, usable := l.spendToken(st, row, now)
			v = l.verdict(taken, usable, now)
			return
		}
		n, _ := l.usableUnits(&st.cap, q.Account, row.Cap, now)
		until := now.Add(time.Duration(q.Life)*time.Millisecond + clockMargin)
		v = l.verdict(st.usage.Lend(q.Permit, n, until, now), n, now)
	})
	return v
}

func (l *Limiter) verdict(granted bool, usable int, now time.Time) limitpb.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.seat.Open(now):
		return limitpb.Verdict_VERDICT_CLOSED
	case granted:
		return limitpb.Verdict_VERDICT_GRANTED
	case usable == 0:
		return limitpb.Verdict_VERDICT_NONE
	default:
		return limitpb.Verdict_VERDICT_BUSY
	}
}

// HandleGive handles method.LimitGive: the return of a permit.
func (l *Limiter) HandleGive(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
	var q limitpb.Give
	if err := encoding.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	l.withAccount(q.Account, func(st *accountState) { st.usage.Return(q.Permit, time.Now()) })
	return proto.Marshal(new(limitpb.Given))
}
