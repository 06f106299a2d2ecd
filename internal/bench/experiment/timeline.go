package experiment

// This file defines timeline, a heap of events in virtual time.

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Time
	seq int // events of the same moment run in the order of their making
	run func()
}

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

// timeline runs events in the order of their time.
type timeline struct {
	now    time.Time
	events events
	seq    int
}

// after runs f when d has passed.
func (t *timeline) after(d time.Duration, f func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now.Add(max(0, d)), seq: t.seq, run: f})
}

// run runs all events.
func (t *timeline) run() {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}
