package figrole

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
)

const (
	// askInterval is the time between two measurements, and askTimeout limits one.
	askInterval = 2 * time.Second
	askTimeout  = 300 * time.Millisecond
	// maxAsked bounds the coordinators that are asked. It suffices for 16 pools of 48 engines.
	maxAsked = 16
	// reorderTime is how long a server gets no second order.
	reorderTime = 2 * time.Minute
	// confirmTime is how long a server that accepted an order counts as changing its role until the list shows it.
	// While the store is away it doesn't, and more orders would follow those without a visible effect.
	confirmTime = 10 * time.Minute
	// engineMemory is how long engines that left are remembered as lost, at least.
	engineMemory = 5 * time.Minute
)

// measured is the state of a pool whose work is measured. It is lost with the right to order.
type measured struct {
	hysteresis

	// fresh says that a measurement waits for a decision; work is nil if no coordinator answered it.
	fresh   bool
	work    *Work
	askedAt time.Time
	last    change
	engines recentMax
}

// recentMax is the largest number seen lately: in the present and the last period of engineMemory.
type recentMax struct {
	present, last int
	since         time.Time
}

// note records a number and returns the largest one.
func (m *recentMax) note(now time.Time, n int) int {
	if now.Sub(m.since) >= engineMemory {
		m.last, m.present, m.since = m.present, 0, now
	}
	m.present = max(m.present, n)
	return max(m.present, m.last)
}

// move is an order that a server has got. A server that didn't accept it has its present role in it.
type move struct {
	role figview.Role
	at   time.Time
}

// measure asks the coordinators for their work if that is due and this instance may order. A server of an older version
// counts as one that doesn't answer.
func (c *Controller) measure(ctx context.Context, now time.Time) {
	if c.opts.AskWork == nil {
		return
	}
	if !c.mayOrder(now) {
		clear(c.pools)
		return
	}
	if now.Sub(c.askedAt) < askInterval {
		return
	}
	c.askedAt = now
	v := c.opts.View()
	pools := measuredPools(v)
	for pool := range c.pools {
		if !slices.Contains(pools, pool) {
			delete(c.pools, pool)
		}
	}
	if len(pools) == 0 {
		return
	}
	answers, asked := c.ask(ctx, pools)
	for _, pool := range pools {
		p := c.pools[pool]
		if p == nil {
			p = &measured{}
			c.pools[pool] = p
		}
		work, invalid := sumWork(answers[pool], len(v.Servers[pool]), v.Table.Pool(pool).Engine.MemoryTokens)
		c.InvalidCount.Add(uint64(invalid))
		if work != nil {
			work.Asked, work.Coordinators = asked, len(c.opts.Coordinators(pool))
		}
		p.work, p.fresh, p.askedAt = work, true, now
	}
}

// measuredPools returns the pools in which roles can change: those of engines with a declared memory, some of which
// are prefill servers.
func measuredPools(v *figcatalogue.View) []string {
	if v.Table == nil {
		return nil
	}
	var pools []string
	for pool, servers := range v.Servers {
		e := v.Table.Pool(pool).Engine
		if e == nil || e.MemoryTokens <= 0 {
			continue
		}
		if slices.ContainsFunc(servers, func(s figcatalogue.Server) bool { return s.Role == figview.Prefill }) {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// ask asks the coordinators of the pools, at most maxAsked and all at the same time. It returns the answers by pool, one of
// each coordinator that answered in askTimeout, and the number of those asked.
func (c *Controller) ask(ctx context.Context, pools []string) (answers map[string][]figcoordinator.PoolWork, asked int) {
	members := map[string]figdiscovery.Member{}
	for _, pool := range pools {
		for _, m := range c.opts.Coordinators(pool) {
			if len(members) < maxAsked {
				members[m.Name] = m
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers = map[string][]figcoordinator.PoolWork{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			a, err := c.opts.AskWork(ctx, m, &figcoordinator.WorkQuery{Pools: pools})
			if err != nil {
				c.UnansweredCount.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			seen := map[string]bool{}
			for _, w := range a.All {
				if !seen[w.Pool] && slices.Contains(pools, w.Pool) {
					seen[w.Pool] = true
					answers[w.Pool] = append(answers[w.Pool], w)
				}
			}
		})
	}
	calls.Wait()
	return answers, len(members)
}

// dueByWork returns the orders that the last measurements call for, and marks their servers as ordered.
func (c *Controller) dueByWork(now time.Time) []order {
	var due []order
	v := c.opts.View()
	for pool, p := range c.pools {
		all := v.Servers[pool]
		if !p.fresh || !c.isStable(now, pool, all) {
			continue
		}
		p.fresh = false
		s := c.split(now, v, pool, p)
		keep := p.last.Keep
		p.last = p.step(now, p.work, s)
		if p.work == nil && now.Sub(p.measuredAt) < maxSilence {
			p.last.Keep = keep
		}
		if p.last.Count == 0 {
			continue
		}
		chosen := c.choose(now, v, pool, p.last)
		if len(chosen) == 0 {
			continue
		}
		p.ordered(now, p.last.Role)
		logChange(pool, p, s, len(chosen), c.opts.Clock.Now())
		for i := range chosen {
			lifetime := chosen[i].Lifetime()
			c.ordered[lifetime] = true
			c.moves[lifetime] = move{role: p.last.Role, at: now}
			due = append(due, order{server: chosen[i], role: p.last.Role})
		}
	}
	return due
}

// split returns the present division of a pool.
func (c *Controller) split(now time.Time, v *figcatalogue.View, pool string, p *measured) Split {
	for lifetime, m := range c.moves {
		if now.Sub(m.at) >= confirmTime {
			delete(c.moves, lifetime)
		}
	}
	s := Split{Usual: c.usual(v.Table.Pool(pool).Engine)}
	servers := v.Servers[pool]
	for i := range servers {
		n := &servers[i]
		role := n.Role
		moving := false
		if len(c.moves) > 0 {
			lifetime := n.Lifetime()
			m, moved := c.moves[lifetime]
			moving = moved && m.role != n.Role
			switch {
			case moving:
				role = m.role
				s.Moving++
			case moved && now.Sub(m.at) >= reorderTime:
				delete(c.moves, lifetime)
			}
		}
		if !v.Usable(n) && (!moving || !n.RemovedAt.IsZero()) {
			continue
		}
		switch role {
		case figview.Prefill:
			s.Prefill++
		case figview.Decode:
			s.Decode++
		}
	}
	s.Lost = p.engines.note(now, s.Prefill+s.Decode) - s.Prefill - s.Decode
	return s
}

// logChange logs a decision with the measurements that it is based on.
func logChange(pool string, p *measured, s Split, count int, now time.Time) {
	w := p.work
	klog.InfoS("roles change by measured work", "pool", pool, "role", p.last.Role.String(), "count", count,
		"wanted", p.last.Wanted, "target", p.target, "prefill", s.Prefill, "decode", s.Decode, "moving", s.Moving, "lost", s.Lost,
		"promptTokensPerSecond", int64(w.PromptTokens), "missedTokensPerSecond", int64(w.MissedTokens),
		"prefillSpeed", int64(w.PrefillSpeed), "prefillBusy", w.PrefillBusy, "prefillTime", w.PrefillTime,
		"heldTokens", int64(w.HeldTokens), "decodeLoad", w.decodeLoad(), "fullMemory", int64(w.fullMemory()), "waiting", w.Waiting,
		"refusedPerSecond", w.Refused, "placedPerSecond", w.Placed,
		"answers", w.Answers, "asked", w.Asked, "window", w.Window, "age", now.Sub(p.askedAt))
}
