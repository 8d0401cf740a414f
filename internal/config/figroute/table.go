package figroute

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
)

// Digest is the SHA-256 digest of a key. Keys are random, so that an unsalted digest can't be reversed by
// guessing.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key's text.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Table is an index over one version of the declarations. It is safe for concurrent use, as it isn't changed after
// NewTable.
type Table struct {
	Declarations

	byHost map[string][]*Route
	pools  map[string]*Pool
	byKey  map[Digest]*Account
	// mixed holds the pools whose requests have different priorities.
	mixed map[string]bool
}

// NewTable returns an index over d, whose slices it keeps.
func NewTable(d *Declarations) *Table {
	t := &Table{
		Declarations: *d,
		byHost:       map[string][]*Route{},
		pools:        map[string]*Pool{},
		byKey:        map[Digest]*Account{},
	}
	t.KeysRequired = d.KeysRequired || len(d.Accounts) > 0
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Pools {
		t.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			t.byKey[k] = &t.Accounts[i]
		}
	}
	t.mixed = t.mixedPools()
	return t
}

// priorities is the range of the priorities of some requests.
type priorities struct {
	least, most int
	known       bool
}

func (p *priorities) add(priority int) {
	if !p.known {
		p.least, p.most, p.known = priority, priority, true
	}
	p.least, p.most = min(p.least, priority), max(p.most, priority)
}

// mixedPools returns the pools to which routes or accounts send requests of different priorities.
func (t *Table) mixedPools() map[string]bool {
	var own priorities
	for i := range t.Accounts {
		if a := &t.Accounts[i]; a.HasPriority {
			own.add(a.Priority)
		}
	}
	byPool, mixed := map[string]priorities{}, map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, share := range r.Shares {
			p := byPool[share.Pool]
			p.add(r.Priority)
			if own.known && t.NeedsKey(r) {
				p.add(own.least)
				p.add(own.most)
			}
			byPool[share.Pool] = p
			mixed[share.Pool] = p.least != p.most
		}
	}
	return mixed
}

// HasPriorities says whether the declared routes and accounts send requests of different priorities to a pool.
func (t *Table) HasPriorities(pool string) bool { return t.mixed[pool] }

// Match returns the route of host with the longest prefix of path. Case and a port in host are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AccountByKey returns the client account that has the key secret.
func (t *Table) AccountByKey(secret string) (*Account, bool) {
	if secret == "" {
		return nil, false
	}
	a, ok := t.byKey[DigestOf(secret)]
	return a, ok
}

// NeedsKey says whether requests on r must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.KeysRequired && !r.NoKeyRequired }

// Pool returns the pool called name, or a pool without limits if none is declared.
func (t *Table) Pool(name string) *Pool {
	if p, ok := t.pools[name]; ok {
		return p
	}
	return &Pool{Name: name}
}

// ChoosePool returns the name of the pool for a request, by the weights of the shares. draw is a random number in
// [0, 1). Negative weights count as 0; if no weight is positive, the first pool is returned.
func (r *Route) ChoosePool(draw float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		return r.Shares[0].Pool
	}
	point := int(draw * float64(sum))
	for _, s := range r.Shares {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}
