package figrole

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// group counts the usable engines of one coordinator or data centre.
type group struct{ prefill, engines int }

// share returns the fraction of prefill servers.
func (g *group) share() float64 { return float64(g.prefill) / float64(g.engines) }

// groups holds groups by name.
type groups map[string]*group

// add counts a server in its group.
func (all groups) add(name string, prefill bool) *group {
	g := all[name]
	if g == nil {
		g = &group{}
		all[name] = g
	}
	g.engines++
	if prefill {
		g.prefill++
	}
	return g
}

// candidate is a server that may change its role.
type candidate struct {
	server                  *figcatalogue.Server
	coordinator, dataCentre *group
}

// choose returns the servers that change their role. Those that got an order lately are left out. The coordinators, each of
// which uses its own servers, then the data centres, come as close as possible to the same share of prefill servers.
func (c *Controller) choose(now time.Time, v *figcatalogue.View, pool string, d change) []figcatalogue.Server {
	coordinators, dataCentres := groups{}, groups{}
	servers := v.Servers[pool]
	candidates := make([]candidate, 0, len(servers))
	for i := range servers {
		n := &servers[i]
		if !v.Usable(n) || n.Role == figview.Plain {
			continue
		}
		lifetime := n.Lifetime()
		prefill := n.Role == figview.Prefill
		k := candidate{n, coordinators.add(c.opts.CoordinatorOf(v, pool, lifetime), prefill), dataCentres.add(n.DataCentre, prefill)}
		if _, moved := c.moves[lifetime]; !moved && n.Role != d.Role && !n.InColdStart(now) {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return strings.Compare(a.server.Name, b.server.Name) })
	// The group with the largest share gives a prefill server up, the one with the smallest gets one.
	sign := 1
	if d.Role == figview.Decode {
		sign = -1
	}
	var chosen []figcatalogue.Server
	for len(chosen) < d.Count && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if sign*compareShares(candidates[i], candidates[best]) < 0 {
				best = i
			}
		}
		k := candidates[best]
		k.coordinator.prefill += sign
		k.dataCentre.prefill += sign
		chosen = append(chosen, *k.server)
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// compareShares compares the shares of prefill servers of two candidates' groups.
func compareShares(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.coordinator.share(), b.coordinator.share()), cmp.Compare(a.dataCentre.share(), b.dataCentre.share()))
}
