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

// bucketCount is the number of digests that two instances compare to find the
// values in which they differ.
const bucketCount = 128

// entry is what an instance knows of one path. Both parts are functions of the
// set of values seen, whatever their order.
type entry struct {
	// latest is the highest version seen.
	latest figplatform.Value
	// good is the highest version seen that parses; it is the one in force.
	valid figplatform.Value
	// faults say why latest is not in force.
	faults []figtree.Fault
	// digest stands for the entry in its bucket.
	digest uint64
}

// table holds the published values, the highest version of each path for good.
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

// newer orders values of one path by version. Values with equal versions, which
// only a service that lost its last writes can give, are ordered by content, so
// that all instances settle on the same one.
func newer(a, b figplatform.Value) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	return xxhash.Sum64String(a.Text) > xxhash.Sum64String(b.Text)
}

// parsed is a value with what parsing it gave.
type parsed struct {
	figplatform.Value
	document *figtree.Document
	faults   []figtree.Fault
}

// parse needs no lock: a value of a megabyte takes a while.
func parse(v figplatform.Value) parsed {
	p := parsed{Value: v}
	if !v.Deleted {
		p.document, p.faults = figtree.Parse(v.Path, []byte(v.Text))
	}
	return p
}

// wants says whether a value could change its entry.
func (t *table) mayChange(v figplatform.Value) bool {
	e := t.entries[v.Path]
	return e == nil || newer(v, e.latest) || newer(v, e.valid)
}

// offer takes in one value. It returns true if the entry changed.
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

// digest stands for all values held.
func (t *table) digest() uint64 {
	var d uint64
	for i, b := range t.buckets {
		d ^= b * uint64(2*i+1)
	}
	return d
}

// after returns the values with a version above since, lowest first, up to limit
// bytes and at least one, and whether there are more.
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

// differing returns the values of the buckets from first on that differ from
// another instance's, whole buckets up to limit bytes and at least one, and the
// bucket to go on with; zero if there is none.
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

// appendTo adds the values of the entry and takes their bytes off limit.
func (e *entry) appendTo(values []figplatform.Value, limit int) ([]figplatform.Value, int) {
	values = append(values, e.latest)
	limit -= len(e.latest.Path) + len(e.latest.Text)
	if e.valid.Version != 0 && e.valid != e.latest {
		values = append(values, e.valid)
		limit -= len(e.valid.Path) + len(e.valid.Text)
	}
	return values, limit
}

// refused returns the faults of the values whose latest version is not in force.
func (t *table) rejected() []figtree.Fault {
	var faults []figtree.Fault
	for _, e := range t.entries {
		faults = append(faults, e.faults...)
	}
	return faults
}
