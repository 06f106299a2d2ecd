package prefix

// This file defines Index and Held.

import (
	"fmt"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	shards      = 16
	shardBlocks = 4096 // blocks remembered by each shard
	mostHolders = 4    // endpoints remembered for a block

	// MostHeld is the greatest number of endpoints that Find returns.
	MostHeld = 2 * mostHolders
)

// Held says how much of a prompt an endpoint is believed to hold.
type Held struct {
	Name   string
	Blocks int // leading blocks of the prompt
}

// Index maps blocks to the endpoints that hold them. It is bounded and forgets
// the blocks that were used least recently. It is safe for concurrent use.
type Index struct {
	shards [shards]shard
}

type shard struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, *holders]
}

// holders are the last endpoints that reported a block, the newest last.
type holders struct {
	names [mostHolders]string
	n     int
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := new(Index)
	for i := range x.shards {
		l, err := simplelru.NewLRU[uint64, *holders](shardBlocks, nil)
		if err != nil {
			panic(fmt.Sprintf("prefix: making a cache of %d blocks: %v", shardBlocks, err))
		}
		x.shards[i].blocks = l
	}
	return x
}

func (x *Index) shard(block uint64) *shard { return &x.shards[block%shards] }

// Add records that an endpoint holds the blocks.
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

// Drop records that an endpoint has dropped the blocks.
func (x *Index) Drop(name string, blocks []uint64) {
	for _, b := range blocks {
		s := x.shard(b)
		s.mu.Lock()
		if h, ok := s.blocks.Peek(b); ok {
			h.drop(name)
		}
		s.mu.Unlock()
	}
}

// Find fills held with the endpoints that hold the longest prefix of a prompt,
// and then with some that hold about half of it, and returns their number.
func (x *Index) Find(blocks []uint64, held *[MostHeld]Held) int {
	depth := len(blocks)
	for depth > 0 && !x.has(blocks[depth-1]) {
		depth--
	}
	n := 0
	for depth > 0 && n < MostHeld {
		n = x.collect(blocks[depth-1], depth, held, n)
		depth /= 2
	}
	return n
}

func (x *Index) has(block uint64) bool {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.blocks.Peek(block)
	return ok && h.n > 0
}

func (x *Index) collect(block uint64, depth int, held *[MostHeld]Held, n int) int {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.blocks.Get(block)
	if !ok {
		return n
	}
	for _, name := range h.names[:h.n] {
		known := slices.ContainsFunc(held[:n], func(k Held) bool { return k.Name == name })
		if !known && n < MostHeld {
			held[n] = Held{Name: name, Blocks: depth}
			n++
		}
	}
	return n
}

func (h *holders) add(name string) {
	h.drop(name)
	if h.n == mostHolders {
		copy(h.names[:], h.names[1:])
		h.n--
	}
	h.names[h.n] = name
	h.n++
}

func (h *holders) drop(name string) {
	i := slices.Index(h.names[:h.n], name)
	if i < 0 {
		return
	}
	copy(h.names[i:], h.names[i+1:h.n])
	h.n--
	h.names[h.n] = ""
}
