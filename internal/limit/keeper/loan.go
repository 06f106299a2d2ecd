package keeper

// This file borrows units from the holders of other seats and gives them back.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
)

// A request asks a few holders, for a short time in all. A holder that had
// nothing to lend is not asked again by this process for a moment.
const (
	mostAsks   = 12
	askTimeout = 200 * time.Millisecond
	mostAsking = 400 * time.Millisecond
	firstWait  = 20 * time.Millisecond // after a refusal, doubled at each that follows
	mostDouble = 3
	giveTries  = 3
	givePause  = 100 * time.Millisecond
)

// loan is one attempt to borrow a unit, or a token of the rate.
type loan struct {
	keeper   *Keeper
	account  string
	permit   uint64
	deadline time.Time
	token    bool
}

// refusal says why nothing was borrowed. Where doubt is empty, every holder was
// asked, of late at least, and had nothing to lend.
type refusal struct {
	doubt string
}

// borrow asks the holders of the account's units in turn. It returns the
// address of the one that gave the permit, or "".
func (l *loan) borrow(ctx context.Context) (address string, why refusal) {
	ctx, cancel := context.WithTimeout(ctx, mostAsking)
	defer cancel()
	seats := l.holders()
	if !l.keeper.Open() {
		why.doubt = fmt.Sprintf("seat %d of this instance is closed", l.keeper.self.Seat)
	}
	asks := 0
	for _, seat := range seats {
		if l.hasMet(seat) {
			continue
		}
		to, ok := l.keeper.find(seat)
		if !ok {
			why.doubt = fmt.Sprintf("the holder of seat %d is not known", seat)
			continue
		}
		if asks == mostAsks || ctx.Err() != nil {
			why.doubt = fmt.Sprintf("%d holders were asked", asks)
			break
		}
		asks++
		verdict, err := l.ask(ctx, to)
		if err == nil {
			l.meet(seat, verdict)
		}
		switch {
		case err != nil:
			why.doubt = fmt.Sprintf("seat %d: %v", seat, err)
		case verdict == limitpb.Verdict_VERDICT_GRANTED:
			return to, refusal{}
		case verdict != limitpb.Verdict_VERDICT_BUSY:
			why.doubt = fmt.Sprintf("seat %d may not lend now: %s", seat, verdict)
		}
	}
	return "", why
}

// holders returns the seats with a unit of the account, but this one: first the
// one that lent last, as a session to it is open, then those with most units,
// and equals at random.
func (l *loan) holders() []int {
	table, row := l.keeper.tables.Current(), l.keeper.row(l.account)
	if row == nil {
		return nil
	}
	units := row.Cap
	if l.token {
		units = assignment.RateUnits(row.Rate)
	}
	held := assignment.UnitsBySeat(l.account, units, table.Policy.Seats)
	seats := make([]int, 0, len(held))
	for seat := range held {
		if seat != l.keeper.self.Seat {
			seats = append(seats, seat)
		}
	}
	rand.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	slices.SortStableFunc(seats, func(a, b int) int { return cmp.Compare(held[b], held[a]) })
	last := -1
	l.keeper.locked(l.account, func(st *standing) {
		if seat, known := st.lender[l.token]; known {
			last = slices.Index(seats, seat)
		}
	})
	if last > 0 {
		seat := seats[last]
		seats = slices.Insert(slices.Delete(seats, last, last+1), 0, seat)
	}
	return seats
}

// hasMet reports whether the holder of a seat had nothing to lend just now. A
// token comes back by itself, a unit when another request ends.
func (l *loan) hasMet(seat int) (met bool) {
	l.keeper.locked(l.account, func(st *standing) {
		r := st.met[l.key(seat)]
		met = r.run > 0 && time.Since(r.last) < firstWait<<min(r.run-1, mostDouble)
	})
	return met
}

func (l *loan) meet(seat int, verdict limitpb.Verdict) {
	l.keeper.locked(l.account, func(st *standing) {
		r := st.met[l.key(seat)]
		if verdict != limitpb.Verdict_VERDICT_BUSY {
			delete(st.met, l.key(seat))
			if verdict == limitpb.Verdict_VERDICT_GRANTED {
				st.lender[l.token] = seat
			}
			return
		}
		st.met[l.key(seat)] = refusals{run: r.run + 1, last: time.Now()}
	})
}

// refusals are how often in a row a holder had nothing to lend.
type refusals struct {
	run  int
	last time.Time
}

// key tells the two limits of an account apart.
func (l *loan) key(seat int) int {
	if l.token {
		return -1 - seat
	}
	return seat
}

func (l *loan) ask(ctx context.Context, address string) (limitpb.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k := l.keeper
	q := &limitpb.Take{Account: l.account, Permit: l.permit}
	asked := time.Now()
	if !l.token {
		q.Life = max(1, l.deadline.Add(slack).Sub(asked).Milliseconds())
	}
	var got limitpb.Taken
	from, err := k.peers.Call(ctx, address, kind.LimitTake, q, &got)
	if err != nil {
		unreachable := new(mesh.Unreachable)
		if !l.token && !errors.As(err, &unreachable) {
			k.giveBack(address, l.account, l.permit) // it may have been granted
		}
		return 0, err
	}
	k.learn(from, &got, asked)
	return got.Verdict, nil
}

// giveBack returns a permit to its holder, without waiting for it. A permit
// that gets lost on the way expires.
func (k *Keeper) giveBack(address, account string, permit uint64) {
	k.gives.Go(func() {
		for range giveTries {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			_, err := k.peers.Call(ctx, address, kind.LimitGive,
				&limitpb.Give{Account: account, Permit: permit}, new(limitpb.Given))
			cancel()
			if err == nil {
				return
			}
			time.Sleep(givePause)
		}
	})
}
