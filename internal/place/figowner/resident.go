package figowner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// adapterInterval is the minimum time between two orders to load an adapter on one server, because the
// rate of the weight store is limited.
const adapterInterval = 10 * time.Second

// ResidentHash returns the hash of a model or adapter name as used in Load. A hash collision between
// two names only makes a caller assume that a name is loaded.
func ResidentHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// residentHashes returns the hashes of the loaded models and adapters of a report.
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

// noteAdapter records the adapter of a granted request if the server has not loaded the adapter.
func (b *Backend) noteAdapter(adapter string) {
	if adapter != "" && !slices.Contains(b.resident, ResidentHash(adapter)) {
		b.missingAdapter = adapter
	}
}

// TakeMissingAdapter returns the adapter that the server should be ordered to load now, and clears it.
// It returns false if no adapter is missing or the last order was less than adapterInterval ago.
func (b *Backend) TakeMissingAdapter(now time.Time) (string, bool) {
	if b.missingAdapter == "" || now.Sub(b.adapterOrderedAt) < adapterInterval {
		return "", false
	}
	name := b.missingAdapter
	b.missingAdapter, b.adapterOrderedAt = "", now
	return name, true
}
