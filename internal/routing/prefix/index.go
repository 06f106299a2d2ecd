package prefix

// This file defines Index and Match.

import (
	"fmt"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	numShards   = 16
	shardBlocks = 4096 // capacity of each shard, in blocks
	maxHolders  = 4    // endpoints kept for each block

	// MaxMatches is the greatest number of endpoints that Find returns.
	MaxMatches = 2 * maxHolders
)

// Match is an endpoint that is believed to have a prefix of a prompt cached.
type Match struct {
	Name   string // of the endpoint
	Blocks int    // length of the cached prefix, in blocks
}

// Index maps block hashes to the endpoints that hold the blocks. It is bounded
// and evicts the least recently used blocks. It is safe for concurrent use.
type Index struct {
	shards [numShards]shard
}

type shard struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, *holders]
}

// holders are the endpoints that most recently reported a block, the newest last.
type holders struct {
	names [maxHolders]string
	n     int
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := new(Index)
	for i := range x.shards {
		l, err := simplelru.NewLRU[uint64, *holders](shardBlocks, nil)
		if err != nil {
			panic(fmt.Sprintf("prefix: creating an LRU cache of %d blocks: %v", shardBlocks, err))
		}
		x.shards[i].blocks = l
	}
	return x
}

func (x *Index) shard(block uint64) *shard { return &x.shards[block%numShards] }

// Add records that an endpoint holds the blocks with the given hashes.
func (x *Index) Add(name string, blocks []uint64) {
	for _, b := range blocks {
		s := x.shard(b)
		s.mu.Lock()
		h, ok := s.blocks.Get(b)
		if !ok {
			h = new(holders)
			s.blocks.Add(b, h)
		}
		h.add(name)
		s.mu.Unlock()
	}
}

// Remove records that an endpoint no longer holds the blocks with the given hashes.
func (x *Index) Remove(name string, blocks []uint64) {
	for _, b := range blocks {
		s := x.shard(b)
		s.mu.Lock()
		if h, ok := s.blocks.Peek(b); ok {
			h.remove(name)
		}
		s.mu.Unlock()
	}
}

// Find fills matches with the endpoints that hold the longest known prefix of a
// prompt, then with those that hold half of that prefix, a quarter and so on
// until matches is full, and returns their number. Each endpoint is listed once.
func (x *Index) Find(blocks []uint64, matches *[MaxMatches]Match) int {
	depth := len(blocks)
	for depth > 0 && !x.has(blocks[depth-1]) {
		depth--
	}
	n := 0
	for depth > 0 && n < MaxMatches {
		n = x.collect(blocks[depth-1], depth, matches, n)
		depth /= 2
	}
	return n
}

// has reports whether any endpoint holds the block.
func (x *Index) has(block uint64) bool {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.blocks.Peek(block)
	return ok && h.n > 0
}

// collect adds the holders of a block that are not yet among the first n
// elements of matches, and returns the new number of elements.
func (x *Index) collect(block uint64, depth int, matches *[MaxMatches]Match, n int) int {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.blocks.Get(block)
	if !ok {
		return n
	}
	for _, name := range h.names[:h.n] {
		listed := slices.ContainsFunc(matches[:n], func(k Match) bool { return k.Name == name })
		if !listed && n < MaxMatches {
			matches[n] = Match{Name: name, Blocks: depth}
			n++
		}
	}
	return n
}

// add makes an endpoint the newest holder, and drops the oldest if there are too many.
func (h *holders) add(name string) {
	h.remove(name)
	if h.n == maxHolders {
		copy(h.names[:], h.names[1:])
		h.n--
	}
	h.names[h.n] = name
	h.n++
}

func (h *holders) remove(name string) {
	i := slices.Index(h.names[:h.n], name)
	if i < 0 {
		return
	}
	copy(h.names[i:], h.names[i+1:h.n])
	h.n--
	h.names[h.n] = ""
}
