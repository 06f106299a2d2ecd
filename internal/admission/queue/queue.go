// Package queue provides a bounded queue of calls that wait for an endpoint.
//
// The queue is shared between client accounts by weighted fair queueing (stride
// scheduling): an account that queues many calls cannot delay the calls of the
// others beyond its share. Within an account, the call that must start first is
// served first. The package does no I/O.
package queue

// This file defines Queue and Item.

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"
)

// Item is one waiting call. Its fields must not be changed while it is queued.
type Item[T any] struct {
	Account     string
	Weight      float64   // the account's share of the queue relative to other accounts, above 0
	LatestStart time.Time // latest time at which starting the call is still useful
	Value       T

	index      int              // position in the heap of its account; -1 if it is not queued
	owner      *accountQueue[T] // nil if it is not queued
	pop        uint64           // number of its last pop
	rateBefore popRate          // of the queue, before its last pop
}

// accountQueue holds the waiting calls of one account.
type accountQueue[T any] struct {
	account string
	weight  float64
	pass    float64 // virtual time at which the account is served next
	items   itemHeap[T]
}

// Queue is a bounded, weighted fair queue. It is safe for concurrent use.
type Queue[T any] struct {
	mu          sync.Mutex
	capacity    int
	size        int
	virtualTime float64 // pass of the account that was served last
	accounts    map[string]*accountQueue[T]
	popRate     popRate
	pops        uint64 // items that were popped and not returned
}

// popRate measures the rate at which items are popped while others wait.
type popRate struct {
	last        time.Time
	meanSeconds float64 // moving average of the time between two pops, in seconds
}

// New returns an empty queue for at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, accounts: make(map[string]*accountQueue[T])}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

// Push adds an item. If the queue exceeds its capacity, Push removes and returns one
// item, which may be the pushed item itself: of the account with the most waiting
// items relative to its weight, the item with the latest start time. Otherwise Push
// returns nil.
func (q *Queue[T]) Push(it *Item[T]) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[it.Account]
	if a == nil {
		a = &accountQueue[T]{account: it.Account}
		q.accounts[it.Account] = a
	}
	a.weight = it.Weight
	if len(a.items) == 0 {
		// An account must not accumulate credit while it has nothing queued.
		a.pass = max(a.pass, q.virtualTime)
	}
	it.owner = a
	heap.Push(&a.items, it)
	q.size++
	if q.size <= q.capacity {
		return nil
	}
	evicted := q.longest().items.last()
	q.remove(evicted)
	return evicted
}

// Pop removes and returns the next item to start: of the account that has been
// served least relative to its weight, the item that must start first. Items whose
// LatestStart has passed are left for Expire. Pop returns nil if no item can start.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	return q.PopIf(now, func(T) bool { return true })
}

// PopIf is like Pop but considers only items for whose value canStart returns true,
// for example those that a freed endpoint can serve.
func (q *Queue[T]) PopIf(now time.Time, canStart func(T) bool) *Item[T] {
	return q.PopBest(now, canStart, nil)
}

// PopBest is like PopIf, but among the items of the chosen account it prefers the
// one with the highest score over the one that must start first, unless the latter
// is urgent. It scores maxScored items at the front of the heap at most. If score is
// nil, PopBest is the same as PopIf.
func (q *Queue[T]) PopBest(now time.Time, canStart func(T) bool, score func(T) int) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var next *accountQueue[T]
	var item *Item[T]
	for _, a := range q.accounts {
		if next != nil && !a.before(next) {
			continue
		}
		if it := a.first(now, canStart); it != nil {
			next, item = a, it
		}
	}
	if next == nil {
		return nil
	}
	if score != nil && item.LatestStart.Sub(now) > urgentTime {
		item = next.best(item, now, canStart, score)
	}
	q.remove(item)
	q.virtualTime = next.pass
	next.pass += 1 / next.weight
	q.pops++
	item.pop, item.rateBefore = q.pops, q.popRate
	q.popRate.record(now)
	return item
}

// Return puts back an item that was popped but could not start. It restores the
// account's share as it was before the pop, and the pop rate too if no item was popped
// since and kept, so that the failed start does not count. It does not check the
// capacity.
func (q *Queue[T]) Return(it *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[it.Account]
	if a == nil {
		a = &accountQueue[T]{account: it.Account, weight: it.Weight, pass: q.virtualTime}
		q.accounts[it.Account] = a
	}
	a.pass = max(0, a.pass-1/a.weight)
	if it.pop == q.pops {
		q.popRate = it.rateBefore
		q.pops--
	}
	it.owner = a
	heap.Push(&a.items, it)
	q.size++
}

// Remove removes an item that is no longer wanted and reports whether it was queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.owner == nil {
		return false
	}
	q.remove(it)
	return true
}

// Expire removes and returns the items whose LatestStart has passed, ordered by LatestStart.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []*Item[T]
	for name, a := range q.accounts {
		for len(a.items) > 0 && a.items[0].LatestStart.Before(now) {
			it := a.items[0]
			q.remove(it)
			expired = append(expired, it)
		}
		if len(a.items) == 0 && a.pass <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
	slices.SortFunc(expired, func(a, b *Item[T]) int {
		return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.Account, b.Account))
	})
	return expired
}

// PredictWait predicts how long a new item of an account would wait: the number of items
// ahead of it in its own account, at the account's share of the measured pop rate.
// It returns 0 if the queue is empty.
func (q *Queue[T]) PredictWait(account string, weight float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.size == 0 || weight <= 0 {
		return 0
	}
	ahead, total := 0.0, weight
	for _, a := range q.accounts {
		if a.account == account {
			ahead = float64(len(a.items))
		} else if len(a.items) > 0 {
			total += a.weight
		}
	}
	pops := min((ahead+1)*total/weight, float64(q.size+1))
	return time.Duration(pops * q.popRate.meanSeconds * float64(time.Second))
}

const (
	popRateWeight  = 1.0 / 32        // weight of a new value in the moving average
	maxScored      = 16              // bounds the cost of PopBest
	urgentTime     = 2 * time.Second // the first item is not passed over if it has this time or less before its LatestStart
	maxPopInterval = time.Second     // after a longer interval the queue was probably empty, so it is not recorded
)

func (p *popRate) record(now time.Time) {
	interval := now.Sub(p.last)
	p.last = now
	if interval > maxPopInterval || interval < 0 {
		return
	}
	p.meanSeconds += popRateWeight * (interval.Seconds() - p.meanSeconds)
}

// remove removes a queued item. The caller holds q.mu.
func (q *Queue[T]) remove(it *Item[T]) {
	heap.Remove(&it.owner.items, it.index)
	it.owner = nil
	q.size--
}

// longest returns the account with the most items relative to its weight, or nil if
// the queue is empty. The caller holds q.mu.
func (q *Queue[T]) longest() *accountQueue[T] {
	var longest *accountQueue[T]
	for _, a := range q.accounts {
		if len(a.items) == 0 {
			continue
		}
		if longest == nil || a.longer(longest) {
			longest = a
		}
	}
	return longest
}

// longer reports whether a has more items than o relative to their weights. The name
// breaks ties, so that the result does not depend on the order of the map.
func (a *accountQueue[T]) longer(o *accountQueue[T]) bool {
	n, m := float64(len(a.items))/a.weight, float64(len(o.items))/o.weight
	return n > m || n == m && a.account < o.account
}

// before reports whether a is served before o. The name breaks ties.
func (a *accountQueue[T]) before(o *accountQueue[T]) bool {
	return a.pass < o.pass || a.pass == o.pass && a.account < o.account
}

// first returns the item with the earliest LatestStart among those that can start and
// whose LatestStart has not passed, or nil if there is none.
func (a *accountQueue[T]) first(now time.Time, canStart func(T) bool) *Item[T] {
	var first *Item[T]
	for i, it := range a.items {
		if it.LatestStart.Before(now) || !canStart(it.Value) {
			continue
		}
		if i == 0 {
			return it
		}
		if first == nil || it.LatestStart.Before(first.LatestStart) {
			first = it
		}
	}
	return first
}

// best returns the item with the highest score among the first maxScored items of
// the heap that can start, or first if none has a higher score than first.
func (a *accountQueue[T]) best(first *Item[T], now time.Time, canStart func(T) bool, score func(T) int) *Item[T] {
	highest := score(first.Value)
	for _, it := range a.items[:min(maxScored, len(a.items))] {
		if it == first || it.LatestStart.Before(now) || !canStart(it.Value) {
			continue
		}
		if n := score(it.Value); n > highest {
			first, highest = it, n
		}
	}
	return first
}
