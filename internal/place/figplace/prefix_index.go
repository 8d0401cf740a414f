package figplace

import "slices"

const (
	// maxIndexedPrefixes bounds the prefixes that an instance remembers.
	maxIndexedPrefixes = 4096
	// cachedPrefixFraction is the part of a remembered prefix that is counted as cached:
	// the engine may have evicted it since.
	cachedPrefixFraction = 0.8
)

// prefixIndex remembers where prompts with a prefix were last computed. The
// Placer's mutex guards it.
type prefixIndex struct {
	servers map[uint64]string
	order   []uint64
	oldest  int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{servers: make(map[uint64]string, maxIndexedPrefixes)}
}

// record remembers that server has computed the prefixes.
func (p *prefixIndex) record(hashes []uint64, server string) {
	for _, h := range hashes {
		if _, ok := p.servers[h]; !ok {
			p.insert(h)
		}
		p.servers[h] = server
	}
}

// insert makes room for h, forgetting the oldest.
func (p *prefixIndex) insert(h uint64) {
	if len(p.order) < maxIndexedPrefixes {
		p.order = append(p.order, h)
		return
	}
	delete(p.servers, p.order[p.oldest])
	p.order[p.oldest] = h
	p.oldest = (p.oldest + 1) % maxIndexedPrefixes
}

// dropServer drops the prefixes of a server that has lost its cache.
func (p *prefixIndex) dropServer(server string) {
	for h, s := range p.servers {
		if s == server {
			p.servers[h] = ""
		}
	}
}

// longestMatch returns the server that computed the longest of the prefixes.
func (p *prefixIndex) longestMatch(hashes []uint64) (string, bool) {
	for _, h := range slices.Backward(hashes) {
		if s := p.servers[h]; s != "" {
			return s, true
		}
	}
	return "", false
}

// uncachedTokens estimates the prompt tokens that server would have to compute.
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
