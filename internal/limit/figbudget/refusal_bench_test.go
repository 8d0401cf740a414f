package figbudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// warmUp lets slots activate and fill before requests are counted.
	warmUp = 20 * time.Second
	// measuredTime is the time in which requests are counted.
	measuredTime = 90 * time.Second
	// faultTime is when the fault of a scenario occurs.
	faultTime = warmUp + 20*time.Second
	// listDelay is the time from a node's death until the platform's list shows it.
	listDelay = 400 * time.Millisecond
	// usedFraction is the fraction of their reservation that requests use.
	usedFraction = 0.7
	// loadFraction and highLoadFraction are the load of the accounts as a fraction of their rate.
	loadFraction, highLoadFraction = 0.8, 0.95
)

// bucket is an ideal token bucket, without distribution or delay.
type bucket struct {
	rate, burst, balance float64
	at                   time.Duration
}

func newBucket(l Limits, fraction float64) *bucket {
	b := &bucket{rate: float64(l.TokensPerSecond) * fraction, burst: float64(l.Burst) * fraction}
	b.balance = b.burst
	return b
}

func (b *bucket) refill(now time.Duration) {
	b.balance = min(b.burst, b.balance+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *bucket) take(tokens float64, now time.Duration) bool {
	b.refill(now)
	if b.balance < tokens {
		return false
	}
	b.balance -= tokens
	return true
}

func (b *bucket) credit(tokens float64, now time.Duration) {
	b.refill(now)
	b.balance = min(b.burst, b.balance+tokens)
}

// scheme is a way of distributing budgets. admit decides on a request at a node and passes the
// result to done. holder names the node whose death affects account zero most.
type scheme struct {
	admit  func(w *simulation, n *node, account string, tokens int64, done func(bool))
	holder func(w *simulation) string
}

// requestCount counts requests within their account's rate, and those of them that were refused.
type requestCount struct{ withinRate, refused int }

func (t *requestCount) percent() float64 {
	return 100 * float64(t.refused) / float64(max(1, t.withinRate))
}

func (t *requestCount) add(other requestCount) {
	t.withinRate += other.withinRate
	t.refused += other.refused
}

// results holds the counts of one run of a scenario.
type results struct {
	requestCount
	// afterRecovery counts requests that came at least recoveryTarget after the fault.
	afterRecovery requestCount
	// lastRefusal is the time from the fault to the last refused request that was within its rate.
	lastRefusal time.Duration
	messages    int
}

// record adds counts of a request that came at a time after the fault.
func (f *results) record(at time.Duration, seen requestCount) {
	f.add(seen)
	if at >= recoveryTarget {
		f.afterRecovery.add(seen)
	}
	if seen.refused > 0 {
		f.lastRefusal = max(f.lastRefusal, at)
	}
}

// scenario is a fault and the way in which the load balancer distributes requests.
type scenario struct {
	name string
	// load is the load of the accounts as a fraction of their rate.
	load float64
	// sticky sends all requests of an account to one node.
	sticky bool
	fault  func(w *simulation, holder string)
}

func scenarios(load float64) []scenario {
	return []scenario{
		{name: "even", load: load, fault: func(*simulation, string) {}},
		{name: "skew", load: load, sticky: true, fault: func(*simulation, string) {}},
		{name: "deadHolder", load: load, fault: func(w *simulation, holder string) { w.killNodes(holder) }},
		{name: "dataCentreGone", load: load, fault: func(w *simulation, _ string) { w.killNodes("a", "d", "g") }},
		{name: "rolling", load: load, fault: rolling},
	}
}

// killNodes kills nodes and takes them off the list after listDelay.
func (w *simulation) killNodes(names ...string) {
	for _, n := range w.nodes {
		n.alive = n.alive && !slices.Contains(names, n.name)
	}
	w.schedule(listDelay, nil, func() {
		w.publishView(func(m *figview.Member) bool { return !slices.Contains(names, m.Name) })
	})
}

// rolling restarts all nodes one after the other within a minute.
func rolling(w *simulation, _ string) {
	each := time.Minute / time.Duration(len(w.nodes))
	for i, n := range w.nodes {
		start := each * time.Duration(i)
		list := func(after time.Duration, state int) {
			w.schedule(start+after, nil, func() { w.publishState(n.name, state) })
		}
		list(0, int(figview.Leaving))
		w.schedule(start+3*time.Second, nil, func() { n.alive = false })
		list(3*time.Second+listDelay, unlisted)
		w.schedule(start+4*time.Second, nil, n.restart)
		list(4*time.Second+listDelay, int(figview.Live))
	}
}

// runScenario runs a scenario with a scheme and compares its decisions with those of an ideal
// bucket.
func runScenario(s scenario, scheme scheme, limits map[string]Limits) results {
	random := rand.New(rand.NewPCG(11, 1))
	dataCentres := []string{"x", "y", "z", "x", "y", "z", "x", "y", "z"}
	w := newSimulation(random, dataCentres, limits)
	var f results
	for i := range len(limits) {
		w.scheduleRequests(s, scheme, fmt.Sprint(i), limits[fmt.Sprint(i)], w.nodes[i%len(w.nodes)], &f)
	}
	w.schedule(faultTime, nil, func() { s.fault(w, scheme.holder(w)) })
	w.advance(warmUp)
	w.messages = 0
	w.advance(measuredTime)
	f.messages = w.messages
	return f
}

// scheduleRequests schedules the requests of one account.
func (w *simulation) scheduleRequests(s scenario, scheme scheme, account string, l Limits, home *node, f *results) {
	ideal := newBucket(l, 1)
	mean := meanRequest(l)
	arrivals := s.load * float64(l.TokensPerSecond) / (mean * usedFraction)
	var next func()
	next = func() {
		w.schedule(time.Duration(w.random.ExpFloat64()/arrivals*1e9), nil, next)
		tokens := int64(mean/2) + w.random.Int64N(int64(mean))
		n := w.liveNode(home, s.sticky)
		if n == nil || w.now < warmUp {
			return
		}
		sinceFault := w.now - faultTime
		inRate := ideal.take(float64(tokens), w.now)
		unused := int64((1 - usedFraction) * float64(tokens))
		if inRate {
			f.record(sinceFault, requestCount{withinRate: 1})
			w.schedule(time.Second, nil, func() { ideal.credit(float64(unused), w.now) })
		}
		scheme.admit(w, n, account, tokens, func(ok bool) {
			if inRate && !ok {
				f.record(sinceFault, requestCount{refused: 1})
			}
		})
	}
	w.schedule(0, nil, next)
}

// liveNode returns a node that accepts requests. The load balancer stops sending to dead and
// leaving nodes at once.
func (w *simulation) liveNode(home *node, sticky bool) *node {
	accepts := func(n *node) bool {
		m, listed := w.view.Find(n.name)
		return n.alive && n.view != nil && listed && m.State == figview.Live
	}
	if sticky && accepts(home) {
		return home
	}
	for _, i := range w.random.Perm(len(w.nodes)) {
		if accepts(w.nodes[i]) {
			return w.nodes[i]
		}
	}
	return nil
}

// slotScheme is the scheme of this package.
func slotScheme() scheme {
	admit := func(w *simulation, n *node, account string, tokens int64, done func(bool)) {
		w.schedule(0, n, func() {
			n.reserve(account, tokens, always, func(o outcome) {
				done(o.charged != nil)
				if o.charged == nil {
					return
				}
				w.schedule(time.Second, n, func() {
					now, _ := n.syncView()
					n.settle(account, *o.charged, int64(usedFraction*float64(tokens)), now)
				})
			})
		})
	}
	return scheme{admit: admit, holder: func(w *simulation) string {
		m, _ := newPlacement(w.view).holder(slotID{"0", 0})
		return m.Name
	}}
}

// staticSplit is a scheme that gives each listed node an equal part of each account's bucket.
func staticSplit(limits map[string]Limits) scheme {
	parts := map[string]*bucket{}
	admit := func(w *simulation, n *node, account string, tokens int64, done func(bool)) {
		key := fmt.Sprint(n.name, n.incarnation, account)
		fraction := 1 / float64(len(w.view.Members))
		b := parts[key]
		if b == nil {
			b = newBucket(limits[account], fraction)
			if n.incarnation > 1 {
				b.balance = 0
			}
			parts[key] = b
		}
		b.rate = float64(limits[account].TokensPerSecond) * fraction
		b.burst = float64(limits[account].Burst) * fraction
		w.takeFromBucket(b, n, tokens, done)
	}
	return scheme{admit: admit, holder: func(w *simulation) string { return w.nodes[0].name }}
}

func (w *simulation) takeFromBucket(b *bucket, n *node, tokens int64, done func(bool)) {
	ok := b.take(float64(tokens), w.now)
	done(ok)
	if ok {
		w.schedule(time.Second, n, func() { b.credit((1-usedFraction)*float64(tokens), w.now) })
	}
}

// oneHolder is a scheme that keeps each account's whole bucket at one node. If that node leaves the
// list, the next one starts empty takeoverDelay later.
func oneHolder(limits map[string]Limits) scheme {
	type central struct {
		*bucket
		holder string
		ready  time.Duration
	}
	all := map[string]*central{}
	owner := func(w *simulation, account string) string {
		m, _ := w.view.Owner(figview.Key(account))
		return m.Name
	}
	admit := func(w *simulation, n *node, account string, tokens int64, done func(bool)) {
		holder := owner(w, account)
		c := all[account]
		if c == nil {
			c = &central{bucket: newBucket(limits[account], 1), holder: holder}
			all[account] = c
		}
		if c.holder != holder {
			c.holder, c.ready, c.balance = holder, w.now+takeoverDelay, 0
		}
		if !w.byName(c.holder).alive || w.now < c.ready {
			done(false)
			return
		}
		w.takeFromBucket(c.bucket, n, tokens, done)
	}
	return scheme{admit: admit, holder: func(w *simulation) string { return owner(w, "0") }}
}

// scenarioLimits returns large and small accounts with a burst of five seconds of their rate, and
// small ones with a burst of 25 seconds, whose requests are as large as five seconds of their rate.
func scenarioLimits() map[string]Limits {
	limits := map[string]Limits{}
	for i := range 10 {
		l := Limits{TokensPerSecond: 20_000, Burst: 100_000}
		switch i % 3 {
		case 1:
			l = Limits{TokensPerSecond: 500, Burst: 2500}
		case 2:
			l = Limits{TokensPerSecond: 500, Burst: 12_500}
		}
		limits[fmt.Sprint(i)] = l
	}
	return limits
}

// meanRequest returns the mean size of an account's requests in tokens.
func meanRequest(l Limits) float64 {
	if l.Burst > 5*l.TokensPerSecond {
		return 5 * float64(l.TokensPerSecond)
	}
	return float64(l.TokensPerSecond) / 10
}

// maxRefusedPercent is the target for the share of refused requests among those within their rate,
// in percent.
const maxRefusedPercent = 0.1

// recoveryTarget is the target for the time after a holder's death until no more requests are
// refused than without a fault.
const recoveryTarget = 5 * time.Second

func TestRequestsWithinRateAreNotRefused(t *testing.T) {
	for _, s := range scenarios(loadFraction)[:3] {
		t.Run(s.name, func(t *testing.T) {
			f := runScenario(s, slotScheme(), scenarioLimits())
			require.Greater(t, f.withinRate, 5000)
			require.Less(t, f.percent(), maxRefusedPercent)
			require.Less(t, f.afterRecovery.percent(), maxRefusedPercent)
			require.Greater(t, f.afterRecovery.withinRate, 4000)
		})
	}
}

func BenchmarkWrongfulRefusals(b *testing.B) {
	limits := scenarioLimits()
	for _, s := range append(scenarios(loadFraction), scenarios(highLoadFraction)...) {
		schemes := map[string]func() scheme{
			"slots":       slotScheme,
			"staticSplit": func() scheme { return staticSplit(limits) },
			"oneHolder":   func() scheme { return oneHolder(limits) },
		}
		for name, start := range schemes {
			b.Run(fmt.Sprintf("%s/load=%g/%s", s.name, s.load, name), func(b *testing.B) {
				for b.Loop() {
					f := runScenario(s, start(), limits)
					b.ReportMetric(f.percent(), "refused%")
					b.ReportMetric(f.afterRecovery.percent(), "refusedAfter5s%")
					b.ReportMetric(max(0, f.lastRefusal.Seconds()), "lastRefusal-s")
					b.ReportMetric(float64(f.messages)/float64(f.withinRate), "messages/request")
				}
			})
		}
	}
}
