package figplace

import "slices"

const (
	// maxIndexedPrefixes bounds the number of prefix hashes in a prefixIndex.
	maxIndexedPrefixes = 4096
	// cachedPrefixFraction is the fraction of an indexed prefix that is assumed to be still cached: the
	// engine may have evicted some of it since.
	cachedPrefixFraction = 0.8
)

// prefixIndex maps a prefix hash to the server that last computed a prompt with that prefix. When it is full,
// the oldest hash is dropped. The Placer's mutex guards it.
type prefixIndex struct {
	servers map[uint64]string
	order   []uint64
	oldest  int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{servers: make(map[uint64]string, maxIndexedPrefixes)}
}

// record stores server as the last one that computed the prefixes with these hashes.
func (p *prefixIndex) record(hashes []uint64, server string) {
	for _, h := range hashes {
		if _, ok := p.servers[h]; !ok {
			p.insert(h)
		}
		p.servers[h] = server
	}
}

// insert adds h to the insertion order. When the index is full, it drops the oldest hash.
func (p *prefixIndex) insert(h uint64) {
	if len(p.order) < maxIndexedPrefixes {
		p.order = append(p.order, h)
		return
	}
	delete(p.servers, p.order[p.oldest])
	p.order[p.oldest] = h
	p.oldest = (p.oldest + 1) % maxIndexedPrefixes
}

// dropServer clears the server of all prefixes that it computed, because its cache is no longer trusted. The
// hashes keep their place in the insertion order.
func (p *prefixIndex) dropServer(server string) {
	for h, s := range p.servers {
		if s == server {
			p.servers[h] = ""
		}
	}
}

// longestMatch returns the server recorded for the longest prefix. Hashes are in order of prefix length. It
// returns false if no server is recorded for any of them.
func (p *prefixIndex) longestMatch(hashes []uint64) (string, bool) {
	for _, h := range slices.Backward(hashes) {
		if s := p.servers[h]; s != "" {
			return s, true
		}
	}
	return "", false
}

// uncachedTokens estimates the number of prompt tokens that server would have to compute for r. It is the
// whole prompt if no prefix of r is recorded for server.
func (p *prefixIndex) uncachedTokens(server string, r *Request) int64 {
	n := 0
	for i, h := range r.Prefix {
		if p.servers[h] == server {
			n = i + 1
		}
	}
	if n == 0 {
		return r.PromptTokens
	}
	cached := cachedPrefixFraction * float64(r.PromptTokens) * float64(n) / float64(len(r.Prefix)+1)
	return max(1, r.PromptTokens-int64(cached))
}
