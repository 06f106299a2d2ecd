package queue

// This file defines itemHeap, a heap of items ordered by their latest start time.

import "container/heap"

type itemHeap[T any] []*Item[T]

var _ heap.Interface = (*itemHeap[int])(nil)

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].LatestStart.Before(h[j].LatestStart) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface; x is an *Item[T].
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	it.index = -1
	*h = old[:n]
	return it
}

// last returns the item with the latest start time. The heap must not be empty.
func (h itemHeap[T]) last() *Item[T] {
	last := h[0]
	for _, it := range h[1:] {
		if it.LatestStart.After(last.LatestStart) {
			last = it
		}
	}
	return last
}
