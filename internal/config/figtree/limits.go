package figtree

import (
	"slices"
	"strconv"
	"strings"
)

// origin is the document and line that declare an effective value; it is zero for
// a default.
type origin struct {
	doc  string
	line int32
}

// bound is the effective upper limit of one number, if set is true.
type bound struct {
	origin
	value int64
	set   bool
}

// narrow lowers the bound to a declared value. It returns false,
// and keeps the bound, if the value is above the bound.
func (b *bound) narrow(f Field[int64], doc string) bool {
	if !f.Declared() {
		return true
	}
	if b.set && f.Value > b.value {
		return false
	}
	*b = bound{origin{doc, f.Line}, f.Value, true}
	return true
}

// grant lists the pools, route prefixes or key prefixes that directory at and all
// directories below it may use.
type grant struct {
	origin
	at   string
	list []string
}

// limits holds the effective limits of one directory, including inherited ones.
// Grants of higher directories come first; a name must be allowed by all of them.
type limits struct {
	tokensPerSecond, burst, promptLimit, outputLimit, priority bound

	pools, prefixes, keyPrefixes []grant
}

// limitNode is one declaration of limits for directory at, which is the directory
// of the document or one below it.
type limitNode struct {
	doc  *Document
	at   string
	spec *LimitsSpec
}

// limitNodes returns the declarations of limits in a document.
func limitNodes(d *Document) []limitNode {
	var nodes []limitNode
	if d.Limits != nil {
		nodes = append(nodes, limitNode{d, d.Dir, d.Limits})
	}
	for name, l := range d.Subtrees {
		if l != nil {
			nodes = append(nodes, limitNode{d, qualifiedID(d.Dir, name), l})
		}
	}
	return nodes
}

// compareNodes sorts declarations for the same directory: those from documents in
// higher directories first, then by path.
func compareNodes(a, b limitNode) int {
	if d := len(a.doc.Dir) - len(b.doc.Dir); d != 0 {
		return d
	}
	return strings.Compare(a.doc.Path, b.doc.Path)
}

// with returns the limits narrowed by declarations, and a fault for each declared
// value that exceeds an inherited limit.
func (l limits) with(nodes []limitNode) (limits, []Fault) {
	faults := make([]Fault, 0, len(nodes))
	for _, n := range nodes {
		faults = append(faults, l.apply(n)...)
	}
	return l, faults
}

func (l *limits) apply(n limitNode) []Fault {
	var faults []Fault
	doc, s := n.doc.Path, n.spec
	number := func(what string, b *bound, f Field[int64]) {
		if !b.narrow(f, doc) {
			faults = append(faults, limitExceeded(doc, f.Line, what, f.Value, b))
		}
	}
	number("tokensPerSecond", &l.tokensPerSecond, s.TokensPerSecond)
	number("burst", &l.burst, s.Burst)
	number("promptLimit", &l.promptLimit, s.PromptLimit)
	number("outputLimit", &l.outputLimit, s.OutputLimit)
	number("priority", &l.priority, s.Priority)
	if f := s.Pools; f.Declared() {
		l.pools = append(slices.Clip(l.pools), grant{origin{doc, f.Line}, n.at, f.Value})
	}
	if f := s.RoutePrefixes; f.Declared() {
		l.prefixes = append(slices.Clip(l.prefixes), grant{origin{doc, f.Line}, n.at, f.Value})
	}
	if f := s.KeyPrefixes; f.Declared() {
		l.keyPrefixes = append(slices.Clip(l.keyPrefixes), grant{origin{doc, f.Line}, n.at, f.Value})
	}
	return faults
}

func limitExceeded(doc string, line int32, what string, value int64, b *bound) Fault {
	reason := what + " " + strconv.FormatInt(value, 10) + " is above the limit " +
		strconv.FormatInt(b.value, 10) + " set in " + b.doc
	return Fault{Path: doc, Line: int(line), Reason: reason}
}

// poolGranted reports whether all grants allow a pool. A grant doesn't restrict
// pools that are declared in or below its own directory, except at the root.
func (l *limits) poolGranted(id string) bool {
	for _, g := range l.pools {
		own := g.at != "" && strings.HasPrefix(id, g.at+"/")
		if !own && !slices.Contains(g.list, id) {
			return false
		}
	}
	return true
}

// prefixGranted reports whether a route declared in dir may use a prefix. Outside
// the root directory at least one grant is required, and all must cover it.
func (l *limits) prefixGranted(dir, prefix string) bool {
	if dir != "" && len(l.prefixes) == 0 {
		return false
	}
	for _, g := range l.prefixes {
		covers := func(p string) bool { return hasSegments(prefix, p) }
		if !slices.ContainsFunc(g.list, covers) {
			return false
		}
	}
	return true
}

// keyGranted reports whether all grants allow a key ID. Grants keep a team from
// declaring the ID of another team's key.
func (l *limits) keyGranted(id string) bool {
	for _, g := range l.keyPrefixes {
		starts := func(p string) bool { return strings.HasPrefix(id, p) }
		if !slices.ContainsFunc(g.list, starts) {
			return false
		}
	}
	return true
}

// limitsFor returns the effective limits of a directory, from the cache or computed
// from those of the parent directory. It also records the faults.
func (b *Builder) limitsFor(dir string) *limits {
	if l, ok := b.limits[dir]; ok {
		return l
	}
	var base limits
	if dir != "" {
		base = *b.limitsFor(dirOf(dir))
	}
	nodes := b.limitNodes[dir]
	slices.SortFunc(nodes, compareNodes)
	l, faults := base.with(nodes)
	b.limits[dir] = &l
	if len(faults) > 0 {
		b.limitFaults[dir] = faults
	} else {
		delete(b.limitFaults, dir)
	}
	return &l
}
