package figplace

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlock is the length of a prefix block, in bytes of the prompt.
	PrefixBlock = 1024
	// prefixBlocks bounds the number of blocks that are hashed.
	prefixBlocks = 64
)

// PrefixHashes returns a hash for each whole block of the prompt, each over all
// blocks up to and including it, so that equal hashes mean equal prefixes. A
// prompt shorter than one block has none.
func PrefixHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlock, prefixBlocks)
	hashes := make([]uint64, 0, n)
	var h xxhash.Digest
	h.Reset()
	for i := range n {
		// A Digest never fails to write.
		_, _ = h.Write(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// mix joins two hashes to one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
