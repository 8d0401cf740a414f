package figtree

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards. Changing one key copies the table of
// shardCount pointers and one shard.
const shardCount = 512

// shardMap is an immutable map with copy-on-write: a changed version shares the
// unchanged shards with the version before it.
type shardMap[V any] struct {
	shards *[shardCount]map[string]V
	count  int
}

func shardOf(key string) uint64 { return xxhash.Sum64String(key) % shardCount }

func (m shardMap[V]) get(key string) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := m.shards[shardOf(key)][key]
	return v, ok
}

func (m shardMap[V]) all(yield func(string, V) bool) {
	if m.shards == nil {
		return
	}
	for _, s := range m.shards {
		for k, v := range s {
			if !yield(k, v) {
				return
			}
		}
	}
}

// shardEdit applies changes to a copy of a shardMap. It copies each shard at its
// first change only; base stays unchanged.
type shardEdit[V any] struct {
	base   shardMap[V]
	copied map[uint64]bool
	result shardMap[V]
}

func newShardEdit[V any](m shardMap[V]) *shardEdit[V] {
	e := &shardEdit[V]{base: m, copied: map[uint64]bool{}}
	e.result = m
	return e
}

func (e *shardEdit[V]) shard(key string) map[string]V {
	i := shardOf(key)
	if e.copied[i] {
		return e.result.shards[i]
	}
	if len(e.copied) == 0 {
		table := new([shardCount]map[string]V)
		if e.base.shards != nil {
			*table = *e.base.shards
		}
		e.result.shards = table
	}
	e.copied[i] = true
	s := maps.Clone(e.result.shards[i])
	if s == nil {
		s = map[string]V{}
	}
	e.result.shards[i] = s
	return s
}

func (e *shardEdit[V]) set(key string, v V) {
	s := e.shard(key)
	if _, ok := s[key]; !ok {
		e.result.count++
	}
	s[key] = v
}

func (e *shardEdit[V]) remove(key string) {
	if _, ok := e.result.get(key); !ok {
		return
	}
	delete(e.shard(key), key)
	e.result.count--
}
