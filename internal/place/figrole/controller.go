// Package figrole decides which model engines of a pool are better used for the
// other stage, and when one instance may order that.
//
// # Usage
//
//	s := figrole.New(figrole.Options{Holder: holder, Order: order, …})
//	go s.Run(ctx, timer)
//
// The load that it answers: engines whose decoding memory runs out while prefill
// servers are half idle. A prompt of 5,000 tokens takes a prefill server 0.1 s and
// then a decode server some 3.5 s, of which it runs eleven at once, so that two
// prefill servers of nine would keep seven decode servers full, and three of twelve
// nine; one more where the numbers fall between keeps prompts from queueing.
//
// Only one instance gives orders: the one whose address stands first among the
// seeds that the platform names. Nothing is agreed; two instances can believe that
// for as long as the news of new seeds travels. So an instance waits for holdFor
// after it has become first, orders each lifetime of a server at most once, and
// never again. Without such an instance no order is given: a decode server computes
// prompts itself, and nothing depends on an order.
package figrole

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// prefillFraction is the part of a pool's engines that compute prompts; see the
	// package comment for where it comes from.
	prefillFraction = 0.28
	// checkInterval is the time between two looks at the pools.
	checkInterval = 500 * time.Millisecond
	// leaderHoldTime is how long an instance must have been first, beyond the time that the
	// news of new seeds takes and that orders of two instances must be apart.
	leaderHoldTime = 8 * time.Second
	// startupHoldTime replaces holdFor when the whole system starts: nobody was first before.
	startupHoldTime = time.Second
	// stableTime is how long a pool's servers must not have changed: while a list fills
	// up, a part of it looks like the whole.
	stableTime = 1500 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// fencesPerMillisecond keeps the fencing tokens of two instances apart.
	fencesPerMillisecond = 1024
)

// Options holds what Stages needs. All fields are required.
type Options struct {
	// Name is the instance's name.
	Name  string
	Clock figtimer.Clock
	View  func() *figcatalogue.View
	// First says whether this instance stands first among the seeds.
	First func() bool
	// Starting says whether the whole system is starting.
	Starting bool
	// Order tells a server to take a role, with a fencing token that only grows.
	Order func(ctx context.Context, s *figcatalogue.Server, role figview.Role, fence uint64) error
}

// Stages gives orders while its instance is first. Only Run uses its state.
type Stages struct {
	opts        Options
	firstSince  time.Time
	startedAt   time.Time
	ordered     map[string]bool
	lastServers map[string]poolServers
	// maxEngines is the largest number of engines that a pool has had.
	maxEngines map[string]int
}

// poolServers is what a pool looked like, and since when.
type poolServers struct {
	lifetimes string
	since     time.Time
}

// New returns stages that have ordered nothing.
func New(o Options) *Stages {
	return &Stages{opts: o, startedAt: o.Clock.Now(), ordered: map[string]bool{}, lastServers: map[string]poolServers{}, maxEngines: map[string]int{}}
}

// Run looks at the pools until ctx ends.
func (s *Stages) Run(ctx context.Context, t *figtimer.Timer) error {
	for now := range t.Subscribe(ctx, checkInterval) {
		for _, n := range s.due(now) {
			s.order(ctx, n)
		}
	}
	return nil
}

// due returns the servers to order now, and notes them as ordered.
func (s *Stages) due(now time.Time) []figcatalogue.Server {
	v := s.opts.View()
	holds := s.mayOrder(now)
	var due []figcatalogue.Server
	for pool, all := range v.Servers {
		if !s.isStable(now, pool, all) || !holds {
			continue
		}
		for _, n := range SurplusPrefill(v, pool, s.maxEngines[pool]) {
			if !s.ordered[n.Lifetime()] {
				s.ordered[n.Lifetime()] = true
				due = append(due, n)
			}
		}
	}
	return due
}

// isStable says whether the servers of a pool have been the same for a while.
func (s *Stages) isStable(now time.Time, pool string, all []figcatalogue.Server) bool {
	names := make([]string, 0, len(all))
	for i := range all {
		names = append(names, all[i].Lifetime())
	}
	s.maxEngines[pool] = max(s.maxEngines[pool], len(all))
	slices.Sort(names)
	lifetimes := strings.Join(names, " ")
	if s.lastServers[pool].lifetimes != lifetimes {
		s.lastServers[pool] = poolServers{lifetimes: lifetimes, since: now}
	}
	return now.Sub(s.lastServers[pool].since) >= stableTime
}

// mayOrder says whether this instance may give orders.
func (s *Stages) mayOrder(now time.Time) bool {
	if !s.opts.First() {
		s.firstSince = time.Time{}
		return false
	}
	if s.firstSince.IsZero() {
		s.firstSince = now
		klog.InfoS("first among the seeds", "instance", s.opts.Name)
	}
	wait := leaderHoldTime
	if s.opts.Starting && s.firstSince.Sub(s.startedAt) < wait {
		wait = startupHoldTime
	}
	return now.Sub(s.firstSince) >= wait
}

func (s *Stages) order(ctx context.Context, n figcatalogue.Server) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := s.fence()
	err := s.opts.Order(ctx, &n, figview.Decode, fence)
	klog.InfoS("order given", "server", n.Name, "pool", n.Pool, "role", figview.Decode.String(), "fence", fence, "err", err)
}

// fence returns a token above all earlier ones of this instance, which no other
// instance uses.
func (s *Stages) fence() uint64 {
	return uint64(time.Now().UnixMilli())*fencesPerMillisecond + figview.Key(s.opts.Name)%fencesPerMillisecond
}

// SurplusPrefill returns the prefill servers of a pool that would serve better as decode
// servers. What stays is spread over the data centres.
//
// engines is the number of the pool's engines at full strength, at least: a pool that
// has lost some for a while has no surplus.
func SurplusPrefill(v *figcatalogue.View, pool string, engines int) []figcatalogue.Server {
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
	keep := max(1, int(math.Round(prefillFraction*float64(max(usable, engines)))))
	if len(prefill) <= keep {
		return nil
	}
	return spreadDataCentres(prefill)[keep:]
}

// spreadDataCentres orders servers so that each data centre has one before any has two.
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
