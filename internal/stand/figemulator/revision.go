package figemulator

import (
	"cmp"
	"maps"
	"slices"
)

// revisions is a published list whose revision number grows by one with each change.
type revisions[T any] struct {
	revision uint64
	rows     map[string]revisionRow[T]
}

type revisionRow[T any] struct {
	revision uint64
	value    T
}

func (r *revisions[T]) set(name string, v T) uint64 {
	if r.rows == nil {
		r.rows = map[string]revisionRow[T]{}
	}
	r.revision++
	r.rows[name] = revisionRow[T]{revision: r.revision, value: v}
	return r.revision
}

// after returns the rows whose revision is above revision, oldest change first.
func (r *revisions[T]) after(revision uint64) []revisionRow[T] {
	var changed []revisionRow[T]
	for _, row := range r.rows {
		if row.revision > revision {
			changed = append(changed, row)
		}
	}
	slices.SortFunc(changed, func(a, b revisionRow[T]) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}

func (r *revisions[T]) clone() revisions[T] {
	return revisions[T]{revision: r.revision, rows: maps.Clone(r.rows)}
}
