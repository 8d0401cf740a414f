package figowner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// adapterPause is the least time between two orders to load an adapter on one
// server: the weight store is limited in rate.
const adapterInterval = 10 * time.Second

// ResidentHash returns the hash that stands for a model or adapter in a Load. Two
// names with one hash cost a wrong guess and nothing more.
func ResidentHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// residents returns the hashes of all that a report shows as resident.
func residentHashes(r *Report) []uint32 {
	hashes := make([]uint32, 0, len(r.Models)+len(r.Adapters))
	for _, n := range r.Models {
		hashes = append(hashes, ResidentHash(n))
	}
	for _, n := range r.Adapters {
		hashes = append(hashes, ResidentHash(n))
	}
	return hashes
}

// want notes the adapter of a request that was placed, if it isn't resident.
func (b *Backend) noteAdapter(adapter string) {
	if adapter != "" && !slices.Contains(b.resident, ResidentHash(adapter)) {
		b.missingAdapter = adapter
	}
}

// Wanted returns an adapter to order now, and false if there is none.
func (b *Backend) TakeMissingAdapter(now time.Time) (string, bool) {
	if b.missingAdapter == "" || now.Sub(b.adapterOrderedAt) < adapterInterval {
		return "", false
	}
	name := b.missingAdapter
	b.missingAdapter, b.adapterOrderedAt = "", now
	return name, true
}
