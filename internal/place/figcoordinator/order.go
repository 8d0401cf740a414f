package figcoordinator

import "figtrail.dev/figtrail/internal/fleet/figdiscovery"

// order returns the coordinators to ask: one at random by the number of their engines, then another.
// Those that did not answer lately are left out.
func (p *Placer) order(q *Request) []figdiscovery.Member {
	all, engines := p.Shares.Coordinators(p.View(), q.Pool)
	members := make([]figdiscovery.Member, 0, len(all))
	weights := make([]float64, 0, len(all))
	for i, m := range all {
		if engines[i] > 0 && (p.Assigner.IsSelf(m) || p.Assigner.Responsive(m.Name)) {
			members = append(members, m)
			weights = append(weights, float64(engines[i]))
		}
	}
	var order []figdiscovery.Member
	for len(members) > 0 && len(order) < maxCoordinators {
		i := chooseWeighted(weights, p.Random())
		order = append(order, members[i])
		members = append(members[:i:i], members[i+1:]...)
		weights = append(weights[:i:i], weights[i+1:]...)
	}
	return order
}

// chooseWeighted returns an index with a probability in proportion to its weight; random is in [0, 1).
func chooseWeighted(weights []float64, random float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := random * sum
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}
