package routingsim

// This file defines eventLoop, which runs functions in virtual time.

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int // events of the same time run in the order in which they were scheduled
	run func()
}

// events is a heap of events, the earliest first.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface; x is an event.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*h = old[:n]
	return e
}

var _ heap.Interface = (*events)(nil)

// eventLoop runs events in the order of their time and advances the virtual time to
// the time of each.
type eventLoop struct {
	now    time.Time
	events events
	seq    int
}

// schedule runs f after d, or at the current time if d is negative.
func (l *eventLoop) schedule(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(max(0, d)), seq: l.seq, run: f})
}

// run runs events until none is left.
func (l *eventLoop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}
