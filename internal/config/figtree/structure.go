package figtree

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// buildStructure rebuilds pools, routes and data centres. It always
// rebuilds all of them, as there are few. If the set of pools changes, it marks all
// accounts for a rebuild.
func (b *Builder) buildStructure(t *Tree) {
	b.structFaults = nil
	docs := b.structureDocuments()
	pools := b.buildPools(docs)
	if !slices.Equal(slices.Sorted(maps.Keys(pools)), slices.Sorted(maps.Keys(t.pools))) {
		for _, ids := range b.accountsIn {
			maps.Copy(b.dirtyAccounts, ids)
		}
	}
	t.pools = pools
	t.Routes = b.buildRoutes(docs, pools)
	t.DataCentres = b.buildDataCentres(docs)
}

// structured returns the documents with pools, routes or data
// centres, those of higher directories first, then by path.
func (b *Builder) structureDocuments() []*Document {
	var docs []*Document
	for _, d := range b.docs {
		if len(d.Pools)+len(d.Routes)+len(d.DataCentres) > 0 {
			docs = append(docs, d)
		}
	}
	slices.SortFunc(docs, func(x, y *Document) int {
		return cmp.Or(strings.Count(x.Path, "/")-strings.Count(y.Path, "/"), strings.Compare(x.Path, y.Path))
	})
	return docs
}

func (b *Builder) addDuplicateFault(d *Document, line int32, what, first string) {
	b.structFaults = append(b.structFaults, Fault{
		Path: d.Path, Line: int(line), Reason: what + " is already declared in " + first + ", which takes precedence",
	})
}

func (b *Builder) buildPools(docs []*Document) map[string]*Pool {
	pools, from := map[string]*Pool{}, map[string]string{}
	for _, d := range docs {
		r := resolver{doc: d.Path}
		for _, s := range d.Pools {
			p := r.pool(s, d.Dir, b.limitsFor(d.Dir))
			if _, ok := pools[p.ID]; ok {
				b.addDuplicateFault(d, s.Name.Line, "pool "+p.ID, from[p.ID])
				continue
			}
			pools[p.ID], from[p.ID] = p, d.Path
		}
		b.structFaults = append(b.structFaults, r.faults...)
	}
	return pools
}

func (b *Builder) buildRoutes(docs []*Document, pools map[string]*Pool) []Route {
	var routes []Route
	from := map[string]string{}
	for _, d := range docs {
		r := resolver{doc: d.Path}
		for _, s := range d.Routes {
			t, ok := r.route(s, d.Dir, b.limitsFor(d.Dir), pools)
			if !ok {
				continue
			}
			if first, taken := from[t.Prefix]; taken {
				b.addDuplicateFault(d, s.Prefix.Line, "route "+t.Prefix, first)
				continue
			}
			from[t.Prefix] = d.Path
			routes = append(routes, t)
		}
		b.structFaults = append(b.structFaults, r.faults...)
	}
	return sortRoutes(routes)
}

func (b *Builder) buildDataCentres(docs []*Document) []DataCentre {
	var all []DataCentre
	from := map[string]string{}
	for _, d := range docs {
		r := resolver{doc: d.Path}
		for _, s := range d.DataCentres {
			if first, taken := from[s.Name.Value]; taken {
				b.addDuplicateFault(d, s.Name.Line, "data centre "+s.Name.Value, first)
				continue
			}
			from[s.Name.Value] = d.Path
			all = append(all, r.dataCentre(s))
		}
	}
	return all
}

// Faults returns the faults of the current documents, sorted by path and line. Call
// it after Build: changes since the last Build are not included.
func (b *Builder) Faults() []Fault {
	faults := slices.Clone(b.structFaults)
	for _, m := range []map[string][]Fault{b.limitFaults, b.accountFaults, b.keyFaults} {
		for _, f := range m {
			faults = append(faults, f...)
		}
	}
	return sortFaults(faults)
}

func sortFaults(faults []Fault) []Fault {
	slices.SortFunc(faults, func(x, y Fault) int {
		return cmp.Or(strings.Compare(x.Path, y.Path), x.Line-y.Line, strings.Compare(x.Reason, y.Reason))
	})
	return faults
}
