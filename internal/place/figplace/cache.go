package figplace

import "slices"

const (
	// prefixMemory bounds the prefixes that an instance remembers.
	prefixMemory = 4096
	// prefixTrust is the part of a remembered prefix that is counted as cached:
	// the engine may have evicted it since.
	prefixTrust = 0.8
)

// prefixes remembers where prompts with a prefix were last computed. The
// Placer's mutex guards it.
type prefixes struct {
	servers map[uint64]string
	order   []uint64
	head    int
}

func newPrefixes() *prefixes {
	return &prefixes{servers: make(map[uint64]string, prefixMemory)}
}

// note remembers that server has computed the prefixes.
func (p *prefixes) note(hashes []uint64, server string) {
	for _, h := range hashes {
		if _, ok := p.servers[h]; !ok {
			p.remember(h)
		}
		p.servers[h] = server
	}
}

// remember makes room for h, forgetting the oldest.
func (p *prefixes) remember(h uint64) {
	if len(p.order) < prefixMemory {
		p.order = append(p.order, h)
		return
	}
	delete(p.servers, p.order[p.head])
	p.order[p.head] = h
	p.head = (p.head + 1) % prefixMemory
}

// forget drops the prefixes of a server that has lost its cache.
func (p *prefixes) forget(server string) {
	for h, s := range p.servers {
		if s == server {
			p.servers[h] = ""
		}
	}
}

// longest returns the server that computed the longest of the prefixes.
func (p *prefixes) longest(hashes []uint64) (string, bool) {
	for _, h := range slices.Backward(hashes) {
		if s := p.servers[h]; s != "" {
			return s, true
		}
	}
	return "", false
}

// uncached estimates the prompt tokens that server would have to compute.
func (p *prefixes) uncached(server string, r *Request) int64 {
	n := 0
	for i, h := range r.Prefix {
		if p.servers[h] == server {
			n = i + 1
		}
	}
	if n == 0 {
		return r.PromptTokens
	}
	cached := prefixTrust * float64(r.PromptTokens) * float64(n) / float64(len(r.Prefix)+1)
	return max(1, r.PromptTokens-int64(cached))
}
