package figtree

import (
	"slices"
	"strconv"
	"strings"
)

// origin says where a value in force was declared.
type origin struct {
	doc  string
	line int32
}

// bound is the limit in force of one number.
type bound struct {
	origin
	value int64
	set   bool
}

// narrow lowers the bound to a declared value. It returns false if the value is
// above the bound and was left out.
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

// grant is a list of what a directory and all below it may use.
type grant struct {
	origin
	at   string
	list []string
}

// limits holds the limits in force for one directory.
type limits struct {
	tokensPerSecond, burst, promptLimit, outputLimit, priority bound

	pools, prefixes, keyPrefixes []grant
}

// limitNode is one declaration of limits for a directory.
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

// compareNodes puts declarations of higher directories first.
func compareNodes(a, b limitNode) int {
	if d := len(a.doc.Dir) - len(b.doc.Dir); d != 0 {
		return d
	}
	return strings.Compare(a.doc.Path, b.doc.Path)
}

// with returns the limits narrowed by declarations for directory at, and the
// faults of those that would widen them.
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

// poolGranted says whether all grants allow a pool. A pool that is declared in
// or below the directory of a grant belongs to that directory and needs none.
func (l *limits) poolGranted(id string) bool {
	for _, g := range l.pools {
		own := g.at != "" && strings.HasPrefix(id, g.at+"/")
		if !own && !slices.Contains(g.list, id) {
			return false
		}
	}
	return true
}

// prefixGranted says whether a route below dir may take a prefix. Outside the
// root directory a prefix needs a grant.
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

// keyGranted says whether all grants allow a key ID, so that no team can take
// the ID of another team's key.
func (l *limits) keyGranted(id string) bool {
	for _, g := range l.keyPrefixes {
		starts := func(p string) bool { return strings.HasPrefix(id, p) }
		if !slices.ContainsFunc(g.list, starts) {
			return false
		}
	}
	return true
}

// limitsFor returns the limits in force for a directory.
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
