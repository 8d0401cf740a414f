package figstore

import (
	"cmp"
	"maps"
	"slices"
)

// maxGoneRows bounds the removed rows that a list keeps in order to report their removal to peers.
const maxGoneRows = 1024

// row is one row of a published list.
type row[T any] struct {
	value T
	gone  bool
	// revision is the list revision with which this instance received the row's last change. The change itself may
	// have happened at an earlier revision.
	revision uint64
}

// list is one published list. Its revision never decreases.
type list[T any] struct {
	revision uint64
	rows     map[string]row[T]
	// droppedRevision is the highest revision of a removed row that is no longer kept.
	droppedRevision uint64
}

// change is a changed row with its name.
type change[T any] struct {
	name  string
	value T
	gone  bool
}

// apply applies the changes that lead up to revision; with all set, changes are the whole list. It returns false,
// and changes nothing, if revision isn't newer.
func (l *list[T]) apply(revision uint64, all bool, changes []change[T]) bool {
	if revision <= l.revision {
		return false
	}
	if l.rows == nil {
		l.rows = map[string]row[T]{}
	}
	if all {
		l.markMissing(revision, changes)
	}
	for _, c := range changes {
		l.rows[c.name] = row[T]{c.value, c.gone, revision}
	}
	l.revision = revision
	l.dropOldGone()
	return true
}

// markMissing marks rows as gone that are missing from a whole list.
func (l *list[T]) markMissing(revision uint64, changes []change[T]) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.name] = true
	}
	for name, r := range l.rows {
		if !listed[name] && !r.gone {
			l.rows[name] = row[T]{r.value, true, revision}
		}
	}
}

// dropOldGone drops the oldest removed rows above maxGoneRows.
func (l *list[T]) dropOldGone() {
	var gone []string
	for name, r := range l.rows {
		if r.gone {
			gone = append(gone, name)
		}
	}
	if len(gone) <= maxGoneRows {
		return
	}
	slices.SortFunc(gone, func(a, b string) int { return cmp.Compare(l.rows[a].revision, l.rows[b].revision) })
	for _, name := range gone[:len(gone)-maxGoneRows] {
		l.droppedRevision = max(l.droppedRevision, l.rows[name].revision)
		delete(l.rows, name)
	}
}

// after returns the rows that changed after a revision. all is true if they are the whole list, because revision
// is 0 or removals after it are no longer kept.
func (l *list[T]) after(revision uint64) (changes []change[T], all bool) {
	all = revision < l.droppedRevision || revision == 0
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		r := l.rows[name]
		if (all && !r.gone) || (!all && r.revision > revision) {
			changes = append(changes, change[T]{name, r.value, r.gone})
		}
	}
	return changes, all
}

// present returns the rows that are not removed, sorted by name.
func (l *list[T]) present() []T {
	all := make([]T, 0, len(l.rows))
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		if r := l.rows[name]; !r.gone {
			all = append(all, r.value)
		}
	}
	return all
}
