// Package prefix provides what routing knows of the prompt prefixes that
// engines hold in their caches: the hashes of a prompt's blocks, and an index
// from a block to the endpoints that are believed to hold it.
//
// Engines publish cache events late and with gaps, so the index is a hint: a
// wrong entry costs time, never a wrong answer.
package prefix

// This file defines Blocks, the hashes of a prompt's blocks.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a block in bytes, about 64 tokens of text.
	BlockSize = 256
	// MostBlocks is the greatest number of blocks that are told apart in one prompt.
	MostBlocks = 64
)

// Blocks appends the hashes of the whole blocks of a prompt to dst. Each hash
// covers its block and all blocks before it, so equal hashes mean equal
// prefixes. A partial last block has no hash.
func Blocks(dst []uint64, prompt string) []uint64 {
	var previous uint64
	var d xxhash.Digest
	d.Reset()
	for n := 0; n < MostBlocks && len(prompt) >= BlockSize; n++ {
		previous = chain(&d, previous, prompt[:BlockSize])
		dst = append(dst, previous)
		prompt = prompt[BlockSize:]
	}
	return dst
}

func chain(d *xxhash.Digest, previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
