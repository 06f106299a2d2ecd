// Package neighbour chooses by rendezvous hash whom an instance keeps talking
// to. It is a pure function of names.
package neighbour

// This file defines Choose and Rank.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the n names that rank first for key, in the order of their
// rank, or all where there are fewer. A name that joins or leaves moves at most
// one of the others in or out.
func Choose(key string, names []string, n int) []string {
	n = min(n, len(names))
	best := make([]scored, 0, n+1) // ordered
	for _, name := range names {
		s := scored{name, score(key, name)}
		if len(best) == n && (n == 0 || s.compare(best[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.compare)
		best = slices.Insert(best, at, s)
		best = best[:min(n, len(best))]
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = s.name
	}
	return out
}

// Rank returns how many of names rank before self for key.
func Rank(key, self string, names []string) int {
	own := scored{self, score(key, self)}
	rank := 0
	for _, name := range names {
		if name != self && (scored{name, score(key, name)}).compare(own) < 0 {
			rank++
		}
	}
	return rank
}

type scored struct {
	name  string
	score uint64
}

func (s scored) compare(o scored) int {
	if c := cmp.Compare(o.score, s.score); c != 0 {
		return c
	}
	return cmp.Compare(s.name, o.name)
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(name)
	return d.Sum64()
}
