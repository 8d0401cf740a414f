package figemulator

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCacheEvents is the number of cache events kept for readers; older ones are dropped.
const maxCacheEvents = 1024

// CacheEvent reports that the prefix cache stored or evicted a block of a prompt.
type CacheEvent struct {
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Hash is the xxhash of the prompt up to the end of the block.
	Hash uint64 `json:"hash"`
}

// prefixCache holds blocks of prompts and evicts the oldest block first.
type prefixCache struct {
	mu         sync.Mutex
	limit      int
	blockBytes int
	blocks     map[uint64]bool
	order      []uint64
	events     []CacheEvent
	// next is the sequence number of the next event.
	next uint64
}

func newPrefixCache(limit, blockBytes int) *prefixCache {
	return &prefixCache{limit: limit, blockBytes: blockBytes, blocks: map[uint64]bool{}, next: 1}
}

// add stores the complete blocks of text and returns the end, in bytes, of the
// last block that was already cached, or 0.
func (p *prefixCache) add(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := 0
	for end := p.blockBytes; end <= len(text); end += p.blockBytes {
		h := xxhash.Sum64String(text[:end])
		if p.blocks[h] {
			cached = end
			continue
		}
		p.store(h)
	}
	return cached
}

func (p *prefixCache) store(h uint64) {
	if len(p.order) >= p.limit {
		oldest := p.order[0]
		p.order = p.order[1:]
		delete(p.blocks, oldest)
		p.emit("evicted", oldest)
	}
	p.blocks[h] = true
	p.order = append(p.order, h)
	p.emit("stored", h)
}

func (p *prefixCache) emit(kind string, h uint64) {
	p.events = append(p.events, CacheEvent{Kind: kind, Hash: h})
	p.next++
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

// clear drops all blocks and events and emits no eviction events, as a crash would.
func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks, p.order, p.events = map[uint64]bool{}, nil, nil
}

// cacheEventsAnswer is the body of the response to GET /cache/events.
type cacheEventsAnswer struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// since returns the events whose sequence number is above after. Gap is true if
// some of these have been dropped.
func (p *prefixCache) since(after uint64) cacheEventsAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.next - uint64(len(p.events))
	first := max(after+1, oldest)
	a := cacheEventsAnswer{Next: p.next - 1, Gap: after+1 < oldest, Events: []CacheEvent{}}
	if first < p.next {
		a.Events = append(a.Events, p.events[first-oldest:]...)
	}
	return a
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.since(after))
}
