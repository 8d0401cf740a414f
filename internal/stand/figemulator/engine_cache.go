package figemulator

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// eventsKept bounds the cache events that a reader can still get.
const eventsKept = 1024

// CacheEvent tells of a block of a prompt that the prefix cache took or dropped.
type CacheEvent struct {
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Hash is the xxhash of the prompt up to and with the block.
	Hash uint64 `json:"hash"`
}

// prefixCache holds the blocks of recent prompts, first in first out.
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

// add stores the whole blocks of text and returns how many of its bytes were
// cached before.
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
	if len(p.events) > eventsKept {
		p.events = p.events[1:]
	}
}

// clear drops all blocks without events, as a crash would.
func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks, p.order, p.events = map[uint64]bool{}, nil, nil
}

// cacheEventsAnswer is the body of a read of cache events.
type cacheEventsAnswer struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// since returns the events after sequence number after, and whether some of
// them are no longer known.
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
