// Package figrole decides how many servers of a pool are prefill servers and how many decode servers, and lets one
// instance order servers to switch.
//
// # Usage
//
//	c := figrole.New(figrole.Options{
//		Name: name, Clock: clock, View: view, IsFirstSeed: first, SendOrder: order,
//		Coordinators: coordinators, CoordinatorOf: coordinatorOf, AskWork: askWork,
//	})
//	go c.Run(ctx, timer)
//
// Without a switch of roles, decode servers can run out of memory while prefill servers are half idle. A
// prompt of 5,000 tokens takes 0.1 s on a prefill server and then about 3.5 s on a decode server, which runs
// eleven such requests at once. By that ratio two prefill servers keep seven decode servers busy, and three
// keep nine busy. Where the ratio falls between whole numbers, one more prefill server is kept, so that
// prompts don't queue.
//
// Engines with less memory run fewer requests at once and need a smaller share of prefill servers (usualShare). That
// share holds until the coordinators of the pool have measured its work. Where servers of one role are
// full then while those of the other are idle for the most part, roles change in both directions to the split that
// suits the work, a few servers at a time (see docs/design/roles.md).
//
// Only one instance sends orders: the one whose address is first in the platform's list of seeds. Instances
// don't agree on this, so while a new seed list spreads, two instances can consider themselves first.
// Therefore an instance sends orders only after it has been first for leaderHoldTime, and checks that again before
// each order. Each lifetime of a server (one run of its process) gets at most one order by the usual share and one by
// measured work in reorderTime. If no instance is first, no orders are sent. That does no harm: a decode server
// computes prompts itself, and nothing depends on an order.
package figrole

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
)

const (
	// checkInterval is the time between two checks of all pools.
	checkInterval = 500 * time.Millisecond
	// stableTime is how long a pool's list of servers must have been unchanged. While the list fills up at
	// the start, a part of the pool must not be taken for the whole.
	stableTime = 1500 * time.Millisecond
	// orderTimeout limits the sending of one order.
	orderTimeout = 2 * time.Second
)

// Options holds the dependencies and settings of Controller. All functions but the last four and Name are required.
type Options struct {
	// Name is the name of this instance.
	Name  string
	Clock figtimer.Clock
	View  func() *figcatalogue.View
	// IsFirstSeed says whether this instance is first in the list of seeds.
	IsFirstSeed func() bool
	// Starting says that this instance starts together with the whole system.
	Starting bool
	// SendOrder tells a server to switch to a role. The fencing token is higher than in earlier orders of this
	// instance.
	SendOrder func(ctx context.Context, s *figcatalogue.Server, role figview.Role, fence uint64) error
	// UsualShare returns the fraction of a pool's engines that are prefill servers without measurements; nil stands for one
	// that follows the memory of the engines.
	UsualShare func(e *figroute.Engine) float64
	// Coordinators returns the coordinators of a pool, CoordinatorOf the name of a server's coordinator, and AskWork asks
	// one for the work that it measured. If they are nil, roles depend on the number of engines alone.
	Coordinators  func(pool string) []figdiscovery.Member
	CoordinatorOf func(v *figcatalogue.View, pool, lifetime string) string
	AskWork       func(ctx context.Context, m figdiscovery.Member, q *figcoordinator.WorkQuery) (*figcoordinator.WorkAnswer, error)
}

// Controller sends role orders while its instance is first in the list of seeds. Only the goroutine of Run may
// use its state, except for the counters and Status.
type Controller struct {
	// UnansweredCount counts coordinators that didn't say what they measured, InvalidCount answers that can't be
	// true. DecodeOrders and PrefillOrders count the orders by role.
	UnansweredCount, InvalidCount, DecodeOrders, PrefillOrders atomic.Uint64

	opts Options
	// firstSince is since when this instance has been first in the list of seeds, zero if it isn't;
	// firstFromStart says that it was so in the first list that it read. checkedSeeds says that it has read one.
	firstSince     time.Time
	firstFromStart bool
	checkedSeeds   bool

	ordered     map[string]bool
	lastServers map[string]poolServers
	// maxEngines is the largest number of servers seen in each pool.
	maxEngines map[string]int
	// pools holds the state of the pools whose work is measured, askedAt is when it was measured, and moves holds the
	// last order of servers by lifetime.
	pools   map[string]*measured
	askedAt time.Time
	moves   map[string]move
	status  atomic.Pointer[map[string]Status]
}

// order is an order that is due.
type order struct {
	server figcatalogue.Server
	role   figview.Role
}

// poolServers holds the sorted lifetimes of a pool's servers, joined to one string, and when that set was
// first seen.
type poolServers struct {
	lifetimes string
	since     time.Time
}

// New returns a Controller that has sent no orders.
func New(o Options) *Controller {
	return &Controller{
		opts: o, ordered: map[string]bool{}, lastServers: map[string]poolServers{}, maxEngines: map[string]int{},
		pools: map[string]*measured{}, moves: map[string]move{},
	}
}

// Run checks all pools at each checkInterval and sends the orders that are due, until ctx ends.
func (c *Controller) Run(ctx context.Context, t *figtimer.Timer) error {
	for now := range t.Subscribe(ctx, checkInterval) {
		c.check(ctx, now)
	}
	return nil
}

// check measures the work if that is due, and sends the orders that are due.
func (c *Controller) check(ctx context.Context, now time.Time) {
	c.measure(ctx, now)
	byWork := c.dueByWork(now)
	for _, n := range c.due(now) {
		c.order(ctx, n)
	}
	for _, o := range byWork {
		c.send(ctx, o)
	}
	c.updateStatus(now)
}

// due returns the servers to send an order to now, and marks their lifetimes as ordered, whether or not the
// order will succeed.
func (c *Controller) due(now time.Time) []figcatalogue.Server {
	v := c.opts.View()
	mayOrder := c.mayOrder(now)
	var due []figcatalogue.Server
	for pool, all := range v.Servers {
		if !c.isStable(now, pool, all) || !mayOrder {
			continue
		}
		for _, n := range c.surplus(v, pool) {
			if !c.ordered[n.Lifetime()] {
				c.ordered[n.Lifetime()] = true
				c.moves[n.Lifetime()] = move{role: figview.Decode, at: now}
				due = append(due, n)
			}
		}
	}
	return due
}

// isStable says whether the list of a pool's servers has been unchanged for stableTime.
func (c *Controller) isStable(now time.Time, pool string, all []figcatalogue.Server) bool {
	names := make([]string, 0, len(all))
	for i := range all {
		names = append(names, all[i].Lifetime())
	}
	c.maxEngines[pool] = max(c.maxEngines[pool], len(all))
	slices.Sort(names)
	lifetimes := strings.Join(names, " ")
	if c.lastServers[pool].lifetimes != lifetimes {
		c.lastServers[pool] = poolServers{lifetimes: lifetimes, since: now}
	}
	return now.Sub(c.lastServers[pool].since) >= stableTime
}

// surplus returns the prefill servers that SurplusPrefill does, fewer if measured work needs more than it keeps.
func (c *Controller) surplus(v *figcatalogue.View, pool string) []figcatalogue.Server {
	if v.Table == nil {
		return nil
	}
	all := SurplusPrefill(v, pool, c.maxEngines[pool], c.usual(v.Table.Pool(pool).Engine))
	p := c.pools[pool]
	if p == nil || p.last.Keep == 0 {
		return all
	}
	prefill := 0
	for i := range v.Servers[pool] {
		if s := &v.Servers[pool][i]; v.Usable(s) && s.Role == figview.Prefill {
			prefill++
		}
	}
	return all[min(len(all), max(0, p.last.Keep-(prefill-len(all)))):]
}

// order sends an order to become a decode server.
func (c *Controller) order(ctx context.Context, n figcatalogue.Server) {
	c.send(ctx, order{server: n, role: figview.Decode})
}

// send sends an order and logs the result. A failed order isn't repeated. Orders before this one may have taken long, so
// that this instance may no longer be the one that sends them.
func (c *Controller) send(ctx context.Context, o order) {
	if !c.mayOrder(c.opts.Clock.Now()) {
		klog.InfoS("role order not sent: another instance sends orders", "server", o.server.Name, "pool", o.server.Pool)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := c.fence()
	err := c.opts.SendOrder(ctx, &o.server, o.role, fence)
	klog.InfoS("role order to server finished", "server", o.server.Name, "pool", o.server.Pool, "role", o.role.String(), "fence", fence, "err", err)
	if err != nil {
		c.moves[o.server.Lifetime()] = move{role: o.server.Role, at: c.opts.Clock.Now()}
	}
	if o.role == figview.Decode {
		c.DecodeOrders.Add(1)
	} else {
		c.PrefillOrders.Add(1)
	}
}

// SurplusPrefill returns the prefill servers of a pool that should become decode servers, and nil if the pool
// has no engine configured. At least one prefill server remains; those that remain are spread over the data
// centres.
//
// engines is the number of engines that the pool has when all of them run. If it exceeds the number of usable
// servers, the split is based on it, so that a temporary loss of servers creates no surplus.
//
// share is the fraction of the engines that stay prefill servers.
func SurplusPrefill(v *figcatalogue.View, pool string, engines int, share float64) []figcatalogue.Server {
	if v.Table == nil || v.Table.Pool(pool).Engine == nil {
		return nil
	}
	usable := 0
	var prefill []figcatalogue.Server
	for i := range v.Servers[pool] {
		s := &v.Servers[pool][i]
		if !v.Usable(s) {
			continue
		}
		usable++
		if s.Role == figview.Prefill {
			prefill = append(prefill, *s)
		}
	}
	keep := keptPrefill(share, max(usable, engines))
	if len(prefill) <= keep {
		return nil
	}
	return spreadDataCentres(prefill)[keep:]
}

// spreadDataCentres sorts servers so that each data centre has one before any has two, and so on.
func spreadDataCentres(all []figcatalogue.Server) []figcatalogue.Server {
	slices.SortFunc(all, func(a, b figcatalogue.Server) int { return cmp.Compare(a.Lifetime(), b.Lifetime()) })
	serversSeen := map[string]int{}
	position := make(map[string]int, len(all))
	for i := range all {
		position[all[i].Lifetime()] = serversSeen[all[i].DataCentre]
		serversSeen[all[i].DataCentre]++
	}
	slices.SortStableFunc(all, func(a, b figcatalogue.Server) int {
		return cmp.Compare(position[a.Lifetime()], position[b.Lifetime()])
	})
	return all
}
