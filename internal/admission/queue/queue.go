// Package queue provides the queue of calls that wait for an endpoint: fair
// between client accounts, ordered by deadline within an account, and bounded.
package queue

// This file defines Queue and Item.

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"
)

// Item is one waiting call. Its fields may not be changed while it waits.
type Item[T any] struct {
	Account string
	Weight  float64   // the account's share of a contended queue, above 0
	Latest  time.Time // last moment at which it is worth to start
	Value   T

	index int // position in the heap of its account; -1 when it doesn't wait
	lane  *lane[T]
}

// lane holds the waiting calls of one account.
type lane[T any] struct {
	account string
	weight  float64
	pass    float64 // virtual time at which the account is served next
	items   items[T]
}

// Queue is safe for concurrent use.
type Queue[T any] struct {
	mu     sync.Mutex
	most   int
	size   int
	clock  float64 // virtual time: pass of the lane that was served last
	lanes  map[string]*lane[T]
	pace   pace
	before pace // before the last pop
}

// pace is the rate at which items leave the queue while others wait.
type pace struct {
	last time.Time
	gap  float64 // moving mean of the time between two pops, in seconds
}

// New returns an empty queue for at most most items.
func New[T any](most int) *Queue[T] {
	return &Queue[T]{most: most, lanes: make(map[string]*lane[T])}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

// Push adds an item. When the queue is full it returns the item that has to
// go: the last one by deadline of the account with the most waiting items for
// its weight, which may be the pushed item itself. Otherwise it returns nil.
func (q *Queue[T]) Push(it *Item[T]) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[it.Account]
	if l == nil {
		l = &lane[T]{account: it.Account}
		q.lanes[it.Account] = l
	}
	l.weight = it.Weight
	if len(l.items) == 0 {
		l.pass = max(l.pass, q.clock)
	}
	it.lane = l
	heap.Push(&l.items, it)
	q.size++
	if q.size <= q.most {
		return nil
	}
	out := q.longest().items.last()
	q.take(out)
	return out
}

// Pop removes the next item to start: the earliest by deadline of the account
// that has had the least for its weight. Items whose Latest has passed are
// left for Expire. It returns nil when no item can start.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	return q.PopIf(now, func(T) bool { return true })
}

// PopIf is Pop among the items whose value passes can, such as those that a
// freed endpoint could serve.
func (q *Queue[T]) PopIf(now time.Time, can func(T) bool) *Item[T] {
	return q.PopBest(now, can, nil)
}

// PopBest is PopIf that, within the account whose turn it is, prefers the item
// of the greatest gain to the earliest, as long as the earliest has time to
// wait. Only some of the earliest items are compared. A nil gain prefers none.
func (q *Queue[T]) PopBest(now time.Time, can func(T) bool, gain func(T) int) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *lane[T]
	var first *Item[T]
	for _, l := range q.lanes {
		if best != nil && !l.before(best) {
			continue
		}
		if it := l.first(now, can); it != nil {
			best, first = l, it
		}
	}
	if best == nil {
		return nil
	}
	if gain != nil && first.Latest.Sub(now) > urgent {
		first = best.gainful(first, now, can, gain)
	}
	q.take(first)
	q.clock = best.pass
	best.pass += 1 / best.weight
	q.before = q.pace
	q.pace.measure(now)
	return first
}

// Return puts back an item that Pop gave and that could not start after all,
// as if it had not been taken.
func (q *Queue[T]) Return(it *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[it.Account]
	if l == nil {
		l = &lane[T]{account: it.Account, weight: it.Weight, pass: q.clock}
		q.lanes[it.Account] = l
	}
	l.pass = max(0, l.pass-1/l.weight)
	q.pace = q.before
	it.lane = l
	heap.Push(&l.items, it)
	q.size++
}

// Remove takes out an item that is no longer wanted and reports whether it waited.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.lane == nil {
		return false
	}
	q.take(it)
	return true
}

// Expire removes and returns the items whose Latest has passed, the earliest first.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*Item[T]
	for name, l := range q.lanes {
		for len(l.items) > 0 && l.items[0].Latest.Before(now) {
			it := l.items[0]
			q.take(it)
			out = append(out, it)
		}
		if len(l.items) == 0 && l.pass <= q.clock {
			delete(q.lanes, name)
		}
	}
	slices.SortFunc(out, func(a, b *Item[T]) int {
		return cmp.Or(a.Latest.Compare(b.Latest), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// Wait predicts how long a new item of an account would wait: the items ahead
// of it in its own account, at the account's share of the measured rate.
func (q *Queue[T]) Wait(account string, weight float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.size == 0 || weight <= 0 {
		return 0
	}
	ahead, total := 0.0, weight
	for _, l := range q.lanes {
		if l.account == account {
			ahead = float64(len(l.items))
		} else if len(l.items) > 0 {
			total += l.weight
		}
	}
	turns := min((ahead+1)*total/weight, float64(q.size+1))
	return time.Duration(turns * q.pace.gap * float64(time.Second))
}

const (
	gapGain  = 1.0 / 32
	compared = 16              // items whose gain is compared
	urgent   = 2 * time.Second // an item with less time than this before its Latest is not passed over
	mostGap  = time.Second     // a longer time between two pops says that nobody waited
)

func (p *pace) measure(now time.Time) {
	gap := now.Sub(p.last)
	p.last = now
	if gap > mostGap || gap < 0 {
		return
	}
	p.gap += gapGain * (gap.Seconds() - p.gap)
}

func (q *Queue[T]) take(it *Item[T]) {
	heap.Remove(&it.lane.items, it.index)
	it.lane = nil
	q.size--
}

func (q *Queue[T]) longest() *lane[T] {
	var most *lane[T]
	for _, l := range q.lanes {
		if len(l.items) == 0 {
			continue
		}
		if most == nil || l.longer(most) {
			most = l
		}
	}
	return most
}

func (l *lane[T]) longer(o *lane[T]) bool {
	a, b := float64(len(l.items))/l.weight, float64(len(o.items))/o.weight
	return a > b || a == b && l.account < o.account
}

func (l *lane[T]) before(o *lane[T]) bool {
	return l.pass < o.pass || l.pass == o.pass && l.account < o.account
}

// first returns the earliest item by deadline that passes can and whose Latest has not passed.
func (l *lane[T]) first(now time.Time, can func(T) bool) *Item[T] {
	var first *Item[T]
	for i, it := range l.items {
		if it.Latest.Before(now) || !can(it.Value) {
			continue
		}
		if i == 0 {
			return it
		}
		if first == nil || it.Latest.Before(first.Latest) {
			first = it
		}
	}
	return first
}

// gainful returns the item of the greatest gain among the first ones, or first where none has any.
func (l *lane[T]) gainful(first *Item[T], now time.Time, can func(T) bool, gain func(T) int) *Item[T] {
	most := gain(first.Value)
	for _, it := range l.items[:min(compared, len(l.items))] {
		if it == first || it.Latest.Before(now) || !can(it.Value) {
			continue
		}
		if n := gain(it.Value); n > most {
			first, most = it, n
		}
	}
	return first
}
