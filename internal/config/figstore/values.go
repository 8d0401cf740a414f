package figstore

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/config/figtree"
)

// bucketCount is the number of buckets that values are hashed into by path. Two instances compare the buckets'
// digests to find the values that differ.
const bucketCount = 128

// entry holds the versions of one path. latest and valid depend only on the set of values merged, not on their
// order.
type entry struct {
	// latest is the highest version received.
	latest figplatform.Value
	// valid is the highest version received that parses. It is the active one.
	valid figplatform.Value
	// faults are the parse errors of latest; empty if latest is active.
	faults []figtree.Fault
	// digest is the entry's contribution to its bucket's digest.
	digest uint64
}

// table holds the newest version and the newest valid version of each path. Older versions never replace newer
// ones.
type table struct {
	entries map[string]*entry
	buckets [bucketCount]uint64
	// highest is the highest version of any path.
	highest uint64
	builder *figtree.Builder
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, builder: figtree.NewBuilder()}
}

// newer orders values of one path by version. Equal versions with different contents occur only after the service
// lost its last writes; they are ordered by content, so that all instances choose the same value.
func newer(a, b figplatform.Value) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	return xxhash.Sum64String(a.Text) > xxhash.Sum64String(b.Text)
}

// parsed is a value with its parse result.
type parsed struct {
	figplatform.Value
	document *figtree.Document
	faults   []figtree.Fault
}

// parse is called without s.mu, as parsing a value of a megabyte is slow.
func parse(v figplatform.Value) parsed {
	p := parsed{Value: v}
	if !v.Deleted {
		p.document, p.faults = figtree.Parse(v.Path, []byte(v.Text))
	}
	return p
}

// mayChange says whether merging v could change its entry.
func (t *table) mayChange(v figplatform.Value) bool {
	e := t.entries[v.Path]
	return e == nil || newer(v, e.latest) || newer(v, e.valid)
}

// merge adds a value to the table. It returns false if the value is older than the entry's versions, or equal.
func (t *table) merge(p parsed) bool {
	e := t.entries[p.Path]
	if e == nil {
		e = &entry{}
	}
	newLatest := newer(p.Value, e.latest)
	newValid := newer(p.Value, e.valid) && len(p.faults) == 0
	if !newLatest && !newValid {
		return false
	}
	if newValid {
		e.valid = p.Value
		t.activate(p)
	}
	if newLatest {
		e.latest, e.faults = p.Value, p.faults
	}
	t.entries[p.Path] = e
	t.highest = max(t.highest, p.Version)
	t.updateDigest(p.Path, e)
	return true
}

func (t *table) activate(p parsed) {
	if p.document == nil {
		t.builder.Remove(p.Path)
		return
	}
	t.builder.Put(p.document)
}

func bucketOf(path string) uint64 { return xxhash.Sum64String(path) % bucketCount }

func (t *table) updateDigest(path string, e *entry) {
	b := bucketOf(path)
	t.buckets[b] ^= e.digest
	e.digest = hashOf(path, e.latest) ^ 31*hashOf(path, e.valid)
	t.buckets[b] ^= e.digest
}

func hashOf(path string, v figplatform.Value) uint64 {
	h := xxhash.New()
	for _, s := range []string{path, strconv.FormatUint(v.Version, 10), strconv.FormatBool(v.Deleted), v.Text} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// digest returns a hash over all values held.
func (t *table) digest() uint64 {
	var d uint64
	for i, b := range t.buckets {
		d ^= b * uint64(2*i+1)
	}
	return d
}

// after returns the entries' values whose latest version is above since, lowest first, and whether there are more.
// It stops once limit bytes are reached, but returns at least one entry.
func (t *table) after(since uint64, limit int) (values []figplatform.Value, more bool) {
	if t.highest <= since {
		return nil, false
	}
	var picked []*entry
	for _, e := range t.entries {
		if e.latest.Version > since {
			picked = append(picked, e)
		}
	}
	slices.SortFunc(picked, func(a, b *entry) int { return cmp.Compare(a.latest.Version, b.latest.Version) })
	for _, e := range picked {
		if limit <= 0 {
			return values, true
		}
		values, limit = e.appendTo(values, limit)
	}
	return values, false
}

// differing returns the values of the buckets from first on whose digest differs from the given one. It stops
// after the bucket in which limit bytes are reached and returns the next bucket to compare; 0 after the last one.
func (t *table) differing(buckets []uint64, first, limit int) (values []figplatform.Value, next int) {
	inBucket := map[int][]*entry{}
	for path, e := range t.entries {
		b := int(bucketOf(path))
		if b >= first && (b >= len(buckets) || t.buckets[b] != buckets[b]) {
			inBucket[b] = append(inBucket[b], e)
		}
	}
	for _, b := range slices.Sorted(maps.Keys(inBucket)) {
		if limit <= 0 {
			return values, b
		}
		for _, e := range inBucket[b] {
			values, limit = e.appendTo(values, limit)
		}
	}
	return values, 0
}

// appendTo appends latest, and valid if it differs, and returns limit less their size in bytes.
func (e *entry) appendTo(values []figplatform.Value, limit int) ([]figplatform.Value, int) {
	values = append(values, e.latest)
	limit -= len(e.latest.Path) + len(e.latest.Text)
	if e.valid.Version != 0 && e.valid != e.latest {
		values = append(values, e.valid)
		limit -= len(e.valid.Path) + len(e.valid.Text)
	}
	return values, limit
}

// rejected returns the faults of all values whose latest version is not active.
func (t *table) rejected() []figtree.Fault {
	var faults []figtree.Fault
	for _, e := range t.entries {
		faults = append(faults, e.faults...)
	}
	return faults
}
