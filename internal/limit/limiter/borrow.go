package limiter

// This file borrows units from the holders of other seats and returns them.

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
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
)

// Bounds on the calls of one request. A holder that had nothing to lend is not
// asked again by this process until a back-off has passed.
const (
	maxAsks          = 12
	askTimeout       = 200 * time.Millisecond // for one call to a peer
	borrowTimeout    = 400 * time.Millisecond // for all calls of one request
	initialBackoff   = 20 * time.Millisecond  // after a refusal, doubled at each further one
	maxDoublings     = 3                      // of initialBackoff: the back-off is at most 160 ms
	returnTries      = 3
	returnRetryDelay = 100 * time.Millisecond
)

// borrower makes one attempt to borrow a unit, or a token of the rate.
type borrower struct {
	limiter  *Limiter
	account  string
	permit   uint64
	deadline time.Time
	token    bool
}

// refusal says why nothing was borrowed. If uncertainty is empty, every holder
// has been asked, now or within its back-off, and had nothing to lend: the limit
// is reached. Otherwise it says why this is not certain.
type refusal struct {
	uncertainty string
}

// borrow asks the holders of the account's units in turn. It returns the
// address of the peer that granted the permit, or "".
func (b *borrower) borrow(ctx context.Context) (address string, why refusal) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	seats := b.holders()
	if !b.limiter.Open() {
		why.uncertainty = fmt.Sprintf("seat %d of this instance is closed", b.limiter.self.Seat)
	}
	asks := 0
	for _, seat := range seats {
		if b.inBackoff(seat) {
			continue
		}
		to, ok := b.limiter.find(seat)
		if !ok {
			why.uncertainty = fmt.Sprintf("the holder of seat %d is not known", seat)
			continue
		}
		if asks == maxAsks || ctx.Err() != nil {
			why.uncertainty = fmt.Sprintf("%d holders were asked", asks)
			break
		}
		asks++
		verdict, err := b.ask(ctx, to)
		if err == nil {
			b.recordVerdict(seat, verdict)
		}
		switch {
		case err != nil:
			why.uncertainty = fmt.Sprintf("seat %d: %v", seat, err)
		case verdict == limitpb.Verdict_VERDICT_GRANTED:
			return to, refusal{}
		case verdict != limitpb.Verdict_VERDICT_BUSY:
			why.uncertainty = fmt.Sprintf("seat %d may not lend now: %s", seat, verdict)
		}
	}
	return "", why
}

// holders returns the other seats that hold a unit of the account, in the order
// to ask them: first the one that lent last, as a connection to it is open, then
// in descending number of units, in random order where the numbers are equal.
func (b *borrower) holders() []int {
	table, row := b.limiter.tables.Current(), b.limiter.row(b.account)
	if row == nil {
		return nil
	}
	units := row.Cap
	if b.token {
		units = assignment.RateUnits(row.Rate)
	}
	held := assignment.UnitsBySeat(b.account, units, table.Policy.Seats)
	seats := make([]int, 0, len(held))
	for seat := range held {
		if seat != b.limiter.self.Seat {
			seats = append(seats, seat)
		}
	}
	rand.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	slices.SortStableFunc(seats, func(a, b int) int { return cmp.Compare(held[b], held[a]) })
	last := -1
	b.limiter.withAccount(b.account, func(st *accountState) {
		if seat, known := st.lastLender[b.token]; known {
			last = slices.Index(seats, seat)
		}
	})
	if last > 0 {
		seat := seats[last]
		seats = slices.Insert(slices.Delete(seats, last, last+1), 0, seat)
	}
	return seats
}

// inBackoff reports whether the holder of a seat had nothing to lend so recently
// that it should not be asked. The back-off is short: a token is refilled by
// time, and a unit becomes free when another request ends.
func (b *borrower) inBackoff(seat int) (waits bool) {
	b.limiter.withAccount(b.account, func(st *accountState) {
		r := st.busy[b.key(seat)]
		waits = r.count > 0 && time.Since(r.last) < initialBackoff<<min(r.count-1, maxDoublings)
	})
	return waits
}

func (b *borrower) recordVerdict(seat int, verdict limitpb.Verdict) {
	b.limiter.withAccount(b.account, func(st *accountState) {
		r := st.busy[b.key(seat)]
		if verdict != limitpb.Verdict_VERDICT_BUSY {
			delete(st.busy, b.key(seat))
			if verdict == limitpb.Verdict_VERDICT_GRANTED {
				st.lastLender[b.token] = seat
			}
			return
		}
		st.busy[b.key(seat)] = busyStreak{count: r.count + 1, last: time.Now()}
	})
}

// busyStreak counts how often in a row a holder had nothing to lend.
type busyStreak struct {
	count int
	last  time.Time
}

// key returns the key of a seat in accountState.busy. Units of the cap and
// tokens of the rate have different keys.
func (b *borrower) key(seat int) int {
	if b.token {
		return -1 - seat
	}
	return seat
}

func (b *borrower) ask(ctx context.Context, address string) (limitpb.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l := b.limiter
	q := &limitpb.Take{Account: b.account, Permit: b.permit}
	asked := time.Now()
	if !b.token {
		q.Life = max(1, b.deadline.Add(deadlineSlack).Sub(asked).Milliseconds())
	}
	var got limitpb.Taken
	from, err := l.peers.Call(ctx, address, method.LimitTake, q, &got)
	if err != nil {
		unreachable := new(transport.UnreachableError)
		if !b.token && !errors.As(err, &unreachable) {
			l.returnPermit(address, b.account, b.permit) // the peer may have granted it
		}
		return 0, err
	}
	l.recordAnswer(from, &got, asked)
	return got.Verdict, nil
}

// returnPermit returns a permit to its holder in the background. If all tries
// fail, the permit expires at the holder.
func (l *Limiter) returnPermit(address, account string, permit uint64) {
	l.returns.Go(func() {
		for range returnTries {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			_, err := l.peers.Call(ctx, address, method.LimitGive,
				&limitpb.Give{Account: account, Permit: permit}, new(limitpb.Given))
			cancel()
			if err == nil {
				return
			}
			time.Sleep(returnRetryDelay)
		}
	})
}
