package cacheaware

// This file defines loadHeap, engines of a data centre by their load.

import "slices"

// loadHeap is a heap of the engines of a data centre; the first one has the lowest load. It implements
// heap.Interface.
type loadHeap struct {
	centre  string
	members []*member
}

func (h *loadHeap) Len() int           { return len(h.members) }
func (h *loadHeap) Less(i, j int) bool { return h.members[i].load < h.members[j].load }

func (h *loadHeap) Swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	h.members[i].position, h.members[j].position = i, j
}

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) {
	m := x.(*member)
	m.position = len(h.members)
	h.members = append(h.members, m)
}

// Pop implements heap.Interface. Engines are never taken out.
func (h *loadHeap) Pop() any { panic("cacheaware: taking an engine out of a heap") }

// least returns the n engines with the lowest load, or all.
func (h *loadHeap) least(n int) []*member {
	n = min(n, len(h.members))
	found := make([]*member, 0, n)
	open := append(make([]*member, 0, n+2), h.members[0]) // engines of which all before them in the heap are found
	for len(found) < n {
		i := 0
		for k, m := range open {
			if m.load < open[i].load {
				i = k
			}
		}
		m := open[i]
		found, open = append(found, m), slices.Delete(open, i, i+1)
		for child := 2*m.position + 1; child <= 2*m.position+2 && child < len(h.members); child++ {
			open = append(open, h.members[child])
		}
	}
	return found
}
