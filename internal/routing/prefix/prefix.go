// Package prefix provides hashes of the blocks of a prompt, and an index from
// these hashes to the endpoints that are believed to have the blocks in their
// prefix caches.
//
// The index is a hint: engines publish cache events late and with gaps. A wrong
// entry makes a call slower but never its answer wrong. The package does no I/O.
package prefix

// This file defines Blocks, the block hashes of a prompt.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a block in bytes, about 64 tokens of text.
	BlockSize = 256
	// MaxBlocks is the number of blocks of one prompt that are hashed; the rest
	// of a longer prompt is ignored.
	MaxBlocks = 64
)

// Blocks appends the hashes of the whole blocks of a prompt to dst, at most
// MaxBlocks of them. Each hash covers its block and all blocks before it, so
// equal hashes mean equal prefixes. A partial last block has no hash.
func Blocks(dst []uint64, prompt string) []uint64 {
	var previous uint64
	var d xxhash.Digest
	d.Reset()
	for n := 0; n < MaxBlocks && len(prompt) >= BlockSize; n++ {
		previous = chain(&d, previous, prompt[:BlockSize])
		dst = append(dst, previous)
		prompt = prompt[BlockSize:]
	}
	return dst
}

// chain returns the hash of a block that follows the blocks with hash previous.
func chain(d *xxhash.Digest, previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
