// Package rendezvous implements rendezvous hashing (highest random weight) over
// names: the same key and names give the same order on every instance, without
// any communication. It is used, for example, to choose the peers that an
// instance exchanges state with. It does no I/O and needs no locking.
package rendezvous

// This file defines Choose and Rank.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the n names that rank first for key, in the order of their
// rank, or all names if there are fewer. Adding or removing one name changes at
// most one of the other names in the result.
func Choose(key string, names []string, n int) []string {
	n = min(n, len(names))
	best := make([]scored, 0, n+1) // highest score first
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

// Rank returns how many of names rank before self for key. Self need not be
// one of names.
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

// compare orders by descending score, then by name.
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
