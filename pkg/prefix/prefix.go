// Package prefix hashes the prefixes of prompts, so that prompts with a common
// prefix can be recognised without storing their text.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of one block of a prompt, in bytes.
const BlockBytes = 256

// hashBytes is the size of one hash, in bytes.
const hashBytes = 8

// Chain returns one hash for each full block of the prompt, at most maxBlocks.
// Hash i covers the blocks 0 to i, so two prompts share hash i only when their
// first (i+1)*BlockBytes bytes are the same. A partial last block has no hash.
func Chain(prompt []byte, maxBlocks int) []uint64 {
	blocks := min(len(prompt)/BlockBytes, max(maxBlocks, 0))
	if blocks == 0 {
		return nil
	}
	chain := make([]uint64, blocks)
	var input [hashBytes + BlockBytes]byte
	for i := range chain {
		copy(input[hashBytes:], prompt[i*BlockBytes:])
		chain[i] = xxhash.Sum64(input[:])
		binary.LittleEndian.PutUint64(input[:hashBytes], chain[i])
	}
	return chain
}

// CachedBlocks returns the number of leading hashes of chain for which cached
// returns true.
func CachedBlocks(chain []uint64, cached func(hash uint64) bool) int {
	for i, hash := range chain {
		if !cached(hash) {
			return i
		}
	}
	return len(chain)
}
