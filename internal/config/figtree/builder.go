package figtree

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Builder holds parsed documents and builds trees from them incrementally: the
// cost of a build depends on what has changed since the last one. It is not safe
// for concurrent use.
type Builder struct {
	docs map[string]*Document
	// limitNodes holds the declarations of limits by directory, limits caches the effective limits.
	limitNodes  map[string][]limitNode
	limits      map[string]*limits
	limitFaults map[string][]Fault

	// accounts holds the declarations by account ID, accountsIn the account IDs by directory.
	accounts      map[string][]*AccountSpec
	accountsIn    map[string]map[string]struct{}
	keys          map[string][]*KeySpec
	accountFaults map[string][]Fault
	keyFaults     map[string][]Fault
	structFaults  []Fault

	// The next Build rebuilds these accounts and keys and, if dirtyStruct is set, pools, routes and data
	// centres.
	dirtyAccounts map[string]struct{}
	dirtyKeys     map[string]struct{}
	dirtyStruct   bool

	tree *Tree
}

// NewBuilder returns a builder whose tree is empty.
func NewBuilder() *Builder {
	return &Builder{
		docs:          map[string]*Document{},
		limitNodes:    map[string][]limitNode{},
		limits:        map[string]*limits{},
		limitFaults:   map[string][]Fault{},
		accounts:      map[string][]*AccountSpec{},
		accountsIn:    map[string]map[string]struct{}{},
		keys:          map[string][]*KeySpec{},
		accountFaults: map[string][]Fault{},
		keyFaults:     map[string][]Fault{},
		dirtyAccounts: map[string]struct{}{},
		dirtyKeys:     map[string]struct{}{},
		tree:          &Tree{},
	}
}

// Put adds d or replaces the document that has the same path. The
// change takes effect at the next Build.
func (b *Builder) Put(d *Document) {
	b.Remove(d.Path)
	b.docs[d.Path] = d
	for _, n := range limitNodes(d) {
		b.limitNodes[n.at] = append(b.limitNodes[n.at], n)
	}
	for _, a := range d.Accounts {
		b.addAccount(a)
	}
	b.markAffected(d)
}

// Remove removes the document with a path, if there is one. The change takes
// effect at the next Build.
func (b *Builder) Remove(docPath string) {
	d, ok := b.docs[docPath]
	if !ok {
		return
	}
	delete(b.docs, docPath)
	declaredByDoc := func(n limitNode) bool { return n.doc == d }
	for _, n := range limitNodes(d) {
		b.limitNodes[n.at] = slices.DeleteFunc(b.limitNodes[n.at], declaredByDoc)
	}
	for _, a := range d.Accounts {
		b.removeAccount(a)
	}
	b.markAffected(d)
}

func (b *Builder) addAccount(a *AccountSpec) {
	b.accounts[a.id] = append(b.accounts[a.id], a)
	in := b.accountsIn[a.doc.Dir]
	if in == nil {
		in = map[string]struct{}{}
		b.accountsIn[a.doc.Dir] = in
	}
	in[a.id] = struct{}{}
	for _, k := range a.Keys {
		b.keys[k.ID.Value] = append(b.keys[k.ID.Value], k)
	}
}

func (b *Builder) removeAccount(a *AccountSpec) {
	b.accounts[a.id] = removeFrom(b.accounts[a.id], a)
	if len(b.accounts[a.id]) == 0 {
		delete(b.accounts, a.id)
		delete(b.accountsIn[a.doc.Dir], a.id)
	}
	for _, k := range a.Keys {
		id := k.ID.Value
		b.keys[id] = removeFrom(b.keys[id], k)
		if len(b.keys[id]) == 0 {
			delete(b.keys, id)
		}
	}
}

func removeFrom[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(x T) bool { return x == one })
}

// markAffected marks everything that must be rebuilt when d is added or removed.
func (b *Builder) markAffected(d *Document) {
	for _, a := range d.Accounts {
		b.dirtyAccounts[a.id] = struct{}{}
		b.markKeys(a)
	}
	if len(d.Pools)+len(d.Routes)+len(d.DataCentres) > 0 {
		b.dirtyStruct = true
	}
	for _, n := range limitNodes(d) {
		b.markSubtree(n.at)
	}
}

func (b *Builder) markKeys(a *AccountSpec) {
	for _, k := range a.Keys {
		b.dirtyKeys[k.ID.Value] = struct{}{}
	}
}

// markSubtree marks everything to which the limits of directory at apply, and
// discards the cached limits of at and the directories below it.
func (b *Builder) markSubtree(at string) {
	b.dirtyStruct = true
	for dir := range b.limits {
		if isWithin(dir, at) {
			delete(b.limits, dir)
			delete(b.limitFaults, dir)
		}
	}
	for dir, ids := range b.accountsIn {
		if isWithin(dir, at) {
			maps.Copy(b.dirtyAccounts, ids)
			b.markKeysOfAccounts(ids)
		}
	}
}

func (b *Builder) markKeysOfAccounts(ids map[string]struct{}) {
	for id := range ids {
		for _, a := range b.accounts[id] {
			b.markKeys(a)
		}
	}
}

func isWithin(dir, at string) bool {
	return at == "" || dir == at || strings.HasPrefix(dir, at+"/")
}

// Build returns the tree for the current documents. If no change since the last
// call can affect the tree, it returns the same pointer.
func (b *Builder) Build() *Tree {
	if !b.dirtyStruct && len(b.dirtyAccounts) == 0 && len(b.dirtyKeys) == 0 {
		return b.tree
	}
	for dir := range b.limitNodes {
		b.limitsFor(dir)
	}
	t := *b.tree
	t.Version++
	if b.dirtyStruct {
		b.buildStructure(&t)
	}
	accounts := newShardEdit(t.accounts)
	for id := range b.dirtyAccounts {
		b.buildAccount(accounts, id, t.pools)
	}
	t.accounts = accounts.result
	keys := newShardEdit(t.keys)
	for id := range b.dirtyKeys {
		b.buildKey(keys, id)
	}
	t.keys = keys.result
	clear(b.dirtyAccounts)
	clear(b.dirtyKeys)
	b.dirtyStruct = false
	b.tree = &t
	return b.tree
}

func (b *Builder) buildAccount(e *shardEdit[*Account], id string, pools map[string]*Pool) {
	delete(b.accountFaults, id)
	specs := b.accounts[id]
	if len(specs) == 0 {
		e.remove(id)
		return
	}
	s := first(specs, compareSpecs)
	r := resolver{doc: s.doc.Path}
	a := r.account(s, b.limitsFor(s.doc.Dir), pools)
	for _, other := range specs {
		if other != s {
			r.faults = append(r.faults, Fault{
				Path: other.doc.Path, Line: int(other.Name.Line),
				Reason: "account " + id + " is already declared in " + s.doc.Path + ", which takes precedence",
			})
		}
	}
	if len(r.faults) > 0 {
		b.accountFaults[id] = r.faults
	}
	if old, ok := e.result.get(id); !ok || !sameAccount(old, a) {
		e.set(id, a)
	}
}

// buildKey rebuilds one key. If several accounts declare it, the account with the
// lowest ID gets it, and each other declaration is reported as a fault.
func (b *Builder) buildKey(e *shardEdit[*Key], id string) {
	delete(b.keyFaults, id)
	specs := b.grantedKeys(id)
	if len(specs) == 0 {
		e.remove(id)
		return
	}
	k := first(specs, func(x, y *KeySpec) int {
		return cmp.Or(strings.Compare(x.account.id, y.account.id), strings.Compare(x.account.doc.Path, y.account.doc.Path))
	})
	for _, other := range specs {
		if other != k {
			b.keyFault(other, "is also declared by account "+k.account.id+", which takes precedence")
		}
	}
	built := &Key{ID: id, Account: k.account.id, Salt: k.salt, Hash: k.hash, Revoked: k.Withdrawn.Value}
	if old, ok := e.result.get(id); !ok || !sameKey(old, built) {
		e.set(id, built)
	}
}

// grantedKeys returns the declarations of a key by accounts whose directory
// is granted the key ID, and records a fault for each other declaration.
func (b *Builder) grantedKeys(id string) []*KeySpec {
	granted := make([]*KeySpec, 0, len(b.keys[id]))
	for _, k := range b.keys[id] {
		if b.limitsFor(k.account.doc.Dir).keyGranted(id) {
			granted = append(granted, k)
			continue
		}
		b.keyFault(k, "is not granted to this directory")
	}
	return granted
}

func (b *Builder) keyFault(k *KeySpec, reason string) {
	id := k.ID.Value
	b.keyFaults[id] = append(b.keyFaults[id], Fault{
		Path: k.account.doc.Path, Line: int(k.ID.Line), Reason: "key " + id + " " + reason,
	})
}

func compareSpecs(x, y *AccountSpec) int { return strings.Compare(x.doc.Path, y.doc.Path) }

func sameKey(a, b *Key) bool {
	return a.Account == b.Account && a.Revoked == b.Revoked &&
		bytes.Equal(a.Salt, b.Salt) && bytes.Equal(a.Hash, b.Hash)
}

func first[T any](all []T, compare func(a, b T) int) T { return slices.MinFunc(all, compare) }
