package figtree

import (
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// defaultOrigin is the file name that Explain returns for a value that no file sets.
const defaultOrigin = "(default)"

// Explain loads the directory dir and returns the effective value at a path, and
// the file and line that set it. A path is a directory, a section, a name in it and a field, such as
// "huber/accounts/treasury/tokensPerSecond", "pools/language/promptLimit" or
// "huber/limits/burst". Routes are named by their prefix. A value that no file
// sets has the file "(default)" and line 0. An unknown path is an error; faults in
// the files are ignored.
func Explain(dir, path string) (value, file string, line int, err error) {
	b, _ := load(dir)
	b.Build()
	found := false
	note := func(field, v string, o origin) {
		value, found = v, true
		file, line = defaultOrigin, int(o.line)
		if o.doc != "" {
			file = filepath.Join(dir, filepath.FromSlash(o.doc)+extension)
		}
	}
	b.explain(path, note)
	if !found {
		return "", "", 0, figerror.New("explain", path, "no effective value has this path")
	}
	return value, file, line, nil
}

type noteFunc func(field, value string, o origin)

// explain calls note with the value at path, if there is one. Directories may
// have the names of sections, so it tries each segment as the section.
func (b *Builder) explain(path string, note noteFunc) {
	parts := strings.Split(path, "/")
	for i, section := range parts {
		dir, rest := strings.Join(parts[:i], "/"), parts[i+1:]
		if len(rest) == 0 {
			return
		}
		name, field := strings.Join(rest[:len(rest)-1], "/"), rest[len(rest)-1]
		only := func(f, v string, o origin) {
			if f == field {
				note(f, v, o)
			}
		}
		switch section {
		case "limits":
			b.explainLimits(dir, only)
		case "accounts":
			b.explainAccount(qualifiedID(dir, name), only)
		case "pools":
			b.explainPool(dir, name, only)
		case "routes":
			b.explainRoute(dir, name, only)
		case "dataCentres":
			b.explainDataCentre(name, only)
		}
	}
}

func (b *Builder) explainLimits(dir string, note noteFunc) {
	l := b.limitsFor(dir)
	number := func(field string, n bound) {
		if n.set {
			note(field, strconv.FormatInt(n.value, 10), n.origin)
		}
	}
	number("tokensPerSecond", l.tokensPerSecond)
	number("burst", l.burst)
	number("promptLimit", l.promptLimit)
	number("outputLimit", l.outputLimit)
	number("priority", l.priority)
	granted := func(field string, grants []grant) {
		if n := len(grants); n > 0 {
			note(field, formatList(grants[n-1].list), grants[n-1].origin)
		}
	}
	granted("pools", l.pools)
	granted("routePrefixes", l.prefixes)
	granted("keyPrefixes", l.keyPrefixes)
}

func (b *Builder) explainAccount(id string, note noteFunc) {
	specs := b.accounts[id]
	if len(specs) == 0 {
		return
	}
	s := first(specs, compareSpecs)
	r := resolver{doc: s.doc.Path, note: note}
	r.account(s, b.limitsFor(s.doc.Dir), b.tree.pools)
}

func (b *Builder) explainPool(dir, name string, note noteFunc) {
	for _, d := range b.structureDocuments() {
		i := slices.IndexFunc(d.Pools, func(p *PoolSpec) bool { return p.Name.Value == name })
		if d.Dir == dir && i >= 0 {
			r := resolver{doc: d.Path, note: note}
			r.pool(d.Pools[i], dir, b.limitsFor(dir))
			return
		}
	}
}

func (b *Builder) explainRoute(dir, prefix string, note noteFunc) {
	for _, d := range b.structureDocuments() {
		for _, s := range d.Routes {
			if d.Dir != dir || strings.Trim(s.Prefix.Value, "/") != strings.Trim(prefix, "/") {
				continue
			}
			var noted []func()
			hold := func(f, v string, o origin) { noted = append(noted, func() { note(f, v, o) }) }
			r := resolver{doc: d.Path, note: hold}
			if _, ok := r.route(s, dir, b.limitsFor(dir), b.tree.pools); !ok {
				continue
			}
			for _, f := range noted {
				f()
			}
			return
		}
	}
}

func (b *Builder) explainDataCentre(name string, note noteFunc) {
	for _, d := range b.structureDocuments() {
		for _, s := range d.DataCentres {
			if s.Name.Value == name {
				r := resolver{doc: d.Path, note: note}
				r.dataCentre(s)
				return
			}
		}
	}
}
