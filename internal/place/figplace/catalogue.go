package figplace

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// catalogue indexes the published lists of instances and backend servers for placement. A new one is built
// when a list changes. Only its owners map changes after that, under mu.
type catalogue struct {
	view    *figview.View
	servers *figview.Servers
	groups  map[groupKey]*group

	mu     sync.Mutex
	owners map[string]figview.Member
}

// groupKey identifies the servers of one role in one pool.
type groupKey struct {
	pool string
	role figview.Role
}

// group holds the servers of one groupKey, sorted by hash: all of them, and by data centre.
type group struct {
	all  []ringPoint
	byDC map[string][]ringPoint
}

// ringPoint is the position of a server on the hash ring on which prompt prefixes are looked up.
type ringPoint struct {
	hash   uint64
	server figview.Server
}

// newCatalogue returns the catalogue of two lists. It omits servers that aren't in state Live and those in an
// excluded data centre.
func newCatalogue(v *figview.View, s *figview.Servers, excludedDataCentres map[string]bool) *catalogue {
	c := &catalogue{
		view: v, servers: s,
		groups: map[groupKey]*group{},
		owners: map[string]figview.Member{},
	}
	for _, x := range s.All {
		if x.State == figview.Live && !excludedDataCentres[x.DataCentre] {
			c.add(x)
		}
	}
	for _, g := range c.groups {
		slices.SortFunc(g.all, compareRingPoints)
		for _, near := range g.byDC {
			slices.SortFunc(near, compareRingPoints)
		}
	}
	return c
}

func compareRingPoints(a, b ringPoint) int {
	if n := cmp.Compare(a.hash, b.hash); n != 0 {
		return n
	}
	return strings.Compare(a.server.Name, b.server.Name)
}

func (c *catalogue) add(s figview.Server) {
	k := groupKey{pool: s.Pool, role: s.Role}
	g, ok := c.groups[k]
	if !ok {
		g = &group{byDC: map[string][]ringPoint{}}
		c.groups[k] = g
	}
	p := ringPoint{hash: mix(xxhash.Sum64String(s.Name), 0), server: s}
	g.all = append(g.all, p)
	g.byDC[s.DataCentre] = append(g.byDC[s.DataCentre], p)
}

// owner returns the instance that owns s, and false if there is none. The result is cached for each server.
func (c *catalogue) owner(s figview.Server) (figview.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.owners[s.Name]; ok {
		return m, true
	}
	m, ok := figowner.OwnerOf(c.view, s)
	if ok {
		c.owners[s.Name] = m
	}
	return m, ok
}

// ringIndex returns the index of the first point whose hash is at least the given one, or 0 if there is none.
// The points must be sorted by hash and not empty.
func ringIndex(points []ringPoint, hash uint64) int {
	i, _ := slices.BinarySearchFunc(points, hash, func(p ringPoint, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	return i % len(points)
}
