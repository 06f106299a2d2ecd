package cache

// This file hashes the blocks of a prompt, as the engines publish them.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	blockSize  = 256 // bytes of a block
	mostBlocks = 64  // blocks of a prompt that are told apart
)

// blocksOf returns the hashes of the whole blocks of a prompt. Each covers its
// block and all before it.
func blocksOf(prompt string) []uint64 {
	var previous uint64
	var blocks []uint64
	for len(blocks) < mostBlocks && len(prompt) >= blockSize {
		seeded := binary.LittleEndian.AppendUint64(nil, previous)
		previous = xxhash.Sum64(append(seeded, prompt[:blockSize]...))
		blocks = append(blocks, previous)
		prompt = prompt[blockSize:]
	}
	return blocks
}
