package figplace

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlock is the size of a prefix block, in bytes of the prompt.
	PrefixBlock = 1024
	// prefixBlocks is the largest number of blocks that are hashed.
	prefixBlocks = 64
)

// PrefixHashes returns one hash for each of the first 64 whole blocks of the prompt. Each hash covers all
// blocks up to and including its own, so that equal hashes mean equal prefixes. A prompt shorter than one
// block has no hashes.
func PrefixHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlock, prefixBlocks)
	hashes := make([]uint64, 0, n)
	var h xxhash.Digest
	h.Reset()
	for i := range n {
		// Write of a Digest never returns an error.
		_, _ = h.Write(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
