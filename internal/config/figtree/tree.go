package figtree

import (
	"iter"
	"maps"
	"slices"
	"strings"
)

// Contents holds the parts of a tree for New.
type Contents struct {
	// Accounts holds the client accounts.
	Accounts []*Account
	// Keys holds the keys of all client accounts.
	Keys []*Key
	// Pools holds the pools.
	Pools []*Pool
	// Routes holds the plain routes in any order.
	Routes []Route
	// DataCentres holds the data centres in declared order.
	DataCentres []DataCentre
}

// New returns a tree of the given values without validation. It is meant for tests.
func New(version uint64, c Contents) *Tree {
	accounts, keys := newShardEdit(shardMap[*Account]{}), newShardEdit(shardMap[*Key]{})
	for _, a := range c.Accounts {
		accounts.set(a.ID, a)
	}
	for _, k := range c.Keys {
		keys.set(k.ID, k)
	}
	pools := map[string]*Pool{}
	for _, p := range c.Pools {
		pools[p.ID] = p
	}
	return &Tree{
		Version:     version,
		Routes:      sortRoutes(slices.Clone(c.Routes)),
		DataCentres: c.DataCentres,
		accounts:    accounts.result,
		keys:        keys.result,
		pools:       pools,
	}
}

// Account returns the client account with an ID.
func (t *Tree) Account(id string) (*Account, bool) { return t.accounts.get(id) }

// Accounts yields all client accounts, in no particular order.
func (t *Tree) Accounts() iter.Seq2[string, *Account] { return t.accounts.all }

// AccountCount returns the number of client accounts.
func (t *Tree) AccountCount() int { return t.accounts.count }

// Key returns the key with an ID, including a revoked key.
func (t *Tree) Key(id string) (*Key, bool) { return t.keys.get(id) }

// KeyCount returns the number of keys.
func (t *Tree) KeyCount() int { return t.keys.count }

// Pool returns the pool with an ID.
func (t *Tree) Pool(id string) (*Pool, bool) {
	p, ok := t.pools[id]
	return p, ok
}

// Pools returns all pools, sorted by ID.
func (t *Tree) Pools() []*Pool {
	all := make([]*Pool, 0, len(t.pools))
	for _, id := range slices.Sorted(maps.Keys(t.pools)) {
		all = append(all, t.pools[id])
	}
	return all
}

// Route returns the route with the longest prefix of path, compared by
// whole segments.
func (t *Tree) Route(path string) (*Route, bool) {
	for i := range t.Routes {
		if hasSegments(path, t.Routes[i].Prefix) {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// Allows reports whether the route takes calls with an HTTP method.
func (r *Route) Allows(method string) bool {
	return !r.MethodsDeclared || slices.Contains(r.Methods, method)
}

// PoolForModel returns the first pool in the account's order that serves a model.
func (t *Tree) PoolForModel(a *Account, model string) (*Pool, bool) {
	for _, id := range a.Pools {
		if p, ok := t.pools[id]; ok && slices.Contains(p.Models, model) {
			return p, true
		}
	}
	return nil, false
}

// Models returns the names of the models that the account may use, sorted.
func (t *Tree) Models(a *Account) []string {
	var names []string
	for _, id := range a.Pools {
		if p, ok := t.pools[id]; ok {
			names = append(names, p.Models...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// DataCentreOutOfService reports whether operators have taken a data centre out of
// service for new requests. It is false for an undeclared data centre.
func (t *Tree) DataCentreOutOfService(name string) bool {
	for _, d := range t.DataCentres {
		if d.Name == name {
			return d.OutOfService
		}
	}
	return false
}

// hasSegments reports whether path begins with prefix, compared by whole segments.
func hasSegments(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

func sortRoutes(routes []Route) []Route {
	slices.SortStableFunc(routes, func(a, b Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		return strings.Compare(a.Prefix, b.Prefix)
	})
	return routes
}
