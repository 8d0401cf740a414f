package figbalancer

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// CallBacklog returns how long it takes to place the waiting calls on the plain servers that a query allows, by their
// slots and the measured duration of calls. It is 0 if that isn't known.
func (p *Picker) CallBacklog(now time.Time, q *Query, waiting int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[speedKey{q.Pool, figview.Plain}]
	if !ok {
		return 0
	}
	if p.computeSpeeds(now, g); g.perUnit == 0 {
		return 0
	}
	perSecond := 0.0
	all := q.View.Servers[q.Pool]
	for i := range all {
		s := &all[i]
		if s.Role != figview.Plain || !q.View.Usable(s) || q.Only != nil && !q.Only(s) || slices.Contains(q.ExcludedLifetimes, s.Lifetime()) {
			continue
		}
		e := p.state(s, now)
		perSecond += float64(e.slots(s)) / (g.perUnit * e.slowness(now))
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(waiting) / perSecond * float64(time.Second))
}
