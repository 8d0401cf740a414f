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

// catalogue is the published lists in the order in which choices need them. It
// is made anew when a list changes.
type catalogue struct {
	view    *figview.View
	servers *figview.Servers
	groups  map[groupKey]*group

	mu     sync.Mutex
	owners map[string]figview.Member
}

// groupKey names the servers of one role in a pool.
type groupKey struct {
	pool string
	role figview.Role
}

// group holds servers that can stand in for each other.
type group struct {
	all  []ringPoint
	byDC map[string][]ringPoint
}

// ringPoint is a server on the ring of hashes that prefixes are looked up in.
type ringPoint struct {
	hash   uint64
	server figview.Server
}

// newCatalogue leaves out servers that are leaving or in a data centre that is out.
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

// owner returns the instance that owns s. It is worked out once for each server.
func (c *catalogue) owner(s figview.Server) (figview.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.owners[s.Name]; ok {
		return m, true
	}
	m, ok := figowner.Of(c.view, s)
	if ok {
		c.owners[s.Name] = m
	}
	return m, ok
}

// ringIndex returns the index of the first point at or after hash, around the ring.
func ringIndex(points []ringPoint, hash uint64) int {
	i, _ := slices.BinarySearchFunc(points, hash, func(p ringPoint, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	return i % len(points)
}
