package figrole

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Status holds the numbers of prefill servers of a pool for gauges.
type Status struct {
	// Wanted is the number that suits the measured work, or the fixed fraction if none has been measured.
	Wanted int
	// Present is the number of usable prefill servers.
	Present int
}

// Status returns the numbers of prefill servers by pool, nil while this instance doesn't order.
func (c *Controller) Status() map[string]Status {
	if s := c.status.Load(); s != nil {
		return *s
	}
	return nil
}

// updateStatus computes what Status returns.
func (c *Controller) updateStatus(now time.Time) {
	if !c.mayOrder(now) {
		c.status.Store(nil)
		return
	}
	v := c.opts.View()
	all := map[string]Status{}
	for _, pool := range measuredPools(v) {
		s := Status{Wanted: c.keptPrefill(v.Table.Pool(pool).Engine, c.maxEngines[pool])}
		if p := c.pools[pool]; p != nil && p.last.Wanted > 0 {
			s.Wanted = p.last.Wanted
		}
		for i := range v.Servers[pool] {
			if n := &v.Servers[pool][i]; v.Usable(n) && n.Role == figview.Prefill {
				s.Present++
			}
		}
		all[pool] = s
	}
	c.status.Store(&all)
}
