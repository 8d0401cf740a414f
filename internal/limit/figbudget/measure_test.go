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
	// warmUp lets slots regenerate and fill before anything is counted.
	warmUp = 20 * time.Second
	// measured is the counted time of a measurement.
	measured = 90 * time.Second
	// faultAt is when the fault of a measurement comes.
	faultAt = warmUp + 20*time.Second
	// listLag is how long the platform's list takes to show a death.
	listLag = 400 * time.Millisecond
	// usedPart is what requests use of their reservation.
	usedPart = 0.7
	// offered is the load that accounts use, as a part of their rate, and
	// offeredMuch one close to it.
	offered, offeredMuch = 0.8, 0.95
)

// bucket is an ideal token bucket: one place, no delay.
type bucket struct {
	rate, burst, balance float64
	at                   time.Duration
}

func newBucket(l Limits, part float64) *bucket {
	b := &bucket{rate: float64(l.TokensPerSecond) * part, burst: float64(l.Burst) * part}
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

// scheme answers a request at a node; done gets whether it was admitted. holder
// names the node whose death hurts account zero most.
type scheme struct {
	admit  func(w *world, n *node, account string, tokens int64, done func(bool))
	holder func(w *world) string
}

// tally counts requests inside their rate, and those of them that were refused.
type tally struct{ inRate, refused int }

func (t *tally) percent() float64 { return 100 * float64(t.refused) / float64(max(1, t.inRate)) }

func (t *tally) add(other tally) {
	t.inRate += other.inRate
	t.refused += other.refused
}

// figures is what one measurement found.
type figures struct {
	tally
	// after holds what came from backAfter after the fault on.
	after tally
	// last is when the last request inside its rate was refused, after the fault.
	last     time.Duration
	messages int
}

// note counts what came at a time after the fault.
func (f *figures) note(at time.Duration, seen tally) {
	f.add(seen)
	if at >= backAfter {
		f.after.add(seen)
	}
	if seen.refused > 0 {
		f.last = max(f.last, at)
	}
}

// scenario is a fault and the way in which the balancer spreads requests.
type scenario struct {
	name string
	// load is what accounts use, as a part of their rate.
	load float64
	// sticky sends all requests of an account to one node.
	sticky bool
	fault  func(w *world, holder string)
}

func scenarios(load float64) []scenario {
	return []scenario{
		{name: "even", load: load, fault: func(*world, string) {}},
		{name: "skew", load: load, sticky: true, fault: func(*world, string) {}},
		{name: "deadHolder", load: load, fault: func(w *world, holder string) { w.lose(holder) }},
		{name: "dataCentreGone", load: load, fault: func(w *world, _ string) { w.lose("a", "d", "g") }},
		{name: "rolling", load: load, fault: rolling},
	}
}

// lose kills nodes and takes them off the list a little later.
func (w *world) lose(names ...string) {
	for _, n := range w.nodes {
		n.alive = n.alive && !slices.Contains(names, n.name)
	}
	w.at(listLag, nil, func() {
		w.publish(func(m *figview.Member) bool { return !slices.Contains(names, m.Name) })
	})
}

// rolling replaces one node after the other within a minute.
func rolling(w *world, _ string) {
	each := time.Minute / time.Duration(len(w.nodes))
	for i, n := range w.nodes {
		start := each * time.Duration(i)
		list := func(after time.Duration, state int) {
			w.at(start+after, nil, func() { w.list(n.name, state) })
		}
		list(0, int(figview.Leaving))
		w.at(start+3*time.Second, nil, func() { n.alive = false })
		list(3*time.Second+listLag, unlisted)
		w.at(start+4*time.Second, nil, n.start)
		list(4*time.Second+listLag, int(figview.Live))
	}
}

// measure runs a scenario under a scheme and compares with an ideal bucket.
func measure(s scenario, by scheme, limits map[string]Limits) figures {
	random := rand.New(rand.NewPCG(11, 1))
	centres := []string{"x", "y", "z", "x", "y", "z", "x", "y", "z"}
	w := newWorld(random, centres, limits)
	var f figures
	for i := range len(limits) {
		w.offer(s, by, fmt.Sprint(i), limits[fmt.Sprint(i)], w.nodes[i%len(w.nodes)], &f)
	}
	w.at(faultAt, nil, func() { s.fault(w, by.holder(w)) })
	w.advance(warmUp)
	w.messages = 0
	w.advance(measured)
	f.messages = w.messages
	return f
}

// offer schedules the requests of one account.
func (w *world) offer(s scenario, by scheme, account string, l Limits, home *node, f *figures) {
	ideal := newBucket(l, 1)
	mean := meanRequest(l)
	arrivals := s.load * float64(l.TokensPerSecond) / (mean * usedPart)
	var next func()
	next = func() {
		w.at(time.Duration(w.random.ExpFloat64()/arrivals*1e9), nil, next)
		tokens := int64(mean/2) + w.random.Int64N(int64(mean))
		n := w.live(home, s.sticky)
		if n == nil || w.now < warmUp {
			return
		}
		came := w.now - faultAt
		inRate := ideal.take(float64(tokens), w.now)
		back := int64((1 - usedPart) * float64(tokens))
		if inRate {
			f.note(came, tally{inRate: 1})
			w.at(time.Second, nil, func() { ideal.credit(float64(back), w.now) })
		}
		by.admit(w, n, account, tokens, func(ok bool) {
			if inRate && !ok {
				f.note(came, tally{refused: 1})
			}
		})
	}
	w.at(0, nil, next)
}

// live returns a node that takes new requests. The balancer stops sending to a
// dead or leaving node at once.
func (w *world) live(home *node, sticky bool) *node {
	takes := func(n *node) bool {
		m, listed := w.view.Find(n.name)
		return n.alive && n.known != nil && listed && m.State == figview.Live
	}
	if sticky && takes(home) {
		return home
	}
	for _, i := range w.random.Perm(len(w.nodes)) {
		if takes(w.nodes[i]) {
			return w.nodes[i]
		}
	}
	return nil
}

// slots is the scheme of this package.
func slots() scheme {
	admit := func(w *world, n *node, account string, tokens int64, done func(bool)) {
		w.at(0, n, func() {
			n.reserve(account, tokens, always, func(o outcome) {
				done(o.taken != nil)
				if o.taken == nil {
					return
				}
				w.at(time.Second, n, func() {
					now, _ := n.sync()
					n.settle(account, *o.taken, int64(usedPart*float64(tokens)), now)
				})
			})
		})
	}
	return scheme{admit: admit, holder: func(w *world) string {
		m, _ := newPlacement(w.view).holder(slotID{"0", 0})
		return m.Name
	}}
}

// staticSplit gives each listed node the same part of each account.
func staticSplit(limits map[string]Limits) scheme {
	parts := map[string]*bucket{}
	admit := func(w *world, n *node, account string, tokens int64, done func(bool)) {
		key := fmt.Sprint(n.name, n.incarnation, account)
		part := 1 / float64(len(w.view.Members))
		b := parts[key]
		if b == nil {
			b = newBucket(limits[account], part)
			if n.incarnation > 1 {
				b.balance = 0
			}
			parts[key] = b
		}
		b.rate = float64(limits[account].TokensPerSecond) * part
		b.burst = float64(limits[account].Burst) * part
		w.takeFrom(b, n, tokens, done)
	}
	return scheme{admit: admit, holder: func(w *world) string { return w.nodes[0].name }}
}

func (w *world) takeFrom(b *bucket, n *node, tokens int64, done func(bool)) {
	ok := b.take(float64(tokens), w.now)
	done(ok)
	if ok {
		w.at(time.Second, n, func() { b.credit((1-usedPart)*float64(tokens), w.now) })
	}
}

// oneHolder keeps each account whole at one node; when that goes, the next one
// starts empty after the list's change and the time of regeneration.
func oneHolder(limits map[string]Limits) scheme {
	type central struct {
		*bucket
		holder string
		ready  time.Duration
	}
	all := map[string]*central{}
	owner := func(w *world, account string) string {
		m, _ := w.view.Owner(figview.Key(account))
		return m.Name
	}
	admit := func(w *world, n *node, account string, tokens int64, done func(bool)) {
		holder := owner(w, account)
		c := all[account]
		if c == nil {
			c = &central{bucket: newBucket(limits[account], 1), holder: holder}
			all[account] = c
		}
		if c.holder != holder {
			c.holder, c.ready, c.balance = holder, w.now+regeneration, 0
		}
		if !w.byName(c.holder).alive || w.now < c.ready {
			done(false)
			return
		}
		w.takeFrom(c.bucket, n, tokens, done)
	}
	return scheme{admit: admit, holder: func(w *world) string { return owner(w, "0") }}
}

// measuredLimits holds large and small accounts with bursts of five seconds, and
// some whose requests are as large as five seconds of their rate.
func measuredLimits() map[string]Limits {
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

// meanRequest is the mean size of an account's requests.
func meanRequest(l Limits) float64 {
	if l.Burst > 5*l.TokensPerSecond {
		return 5 * float64(l.TokensPerSecond)
	}
	return float64(l.TokensPerSecond) / 10
}

// mostRefused is the target for the share of wrongful refusals, in percent.
const mostRefused = 0.1

// backAfter is the target for the time after a holder's death until no more
// requests are refused than in calm.
const backAfter = 5 * time.Second

func TestRequestsInsideTheirRateAreNotRefused(t *testing.T) {
	for _, s := range scenarios(offered)[:3] {
		t.Run(s.name, func(t *testing.T) {
			f := measure(s, slots(), measuredLimits())
			require.Greater(t, f.inRate, 5000)
			require.Less(t, f.percent(), mostRefused)
			require.Less(t, f.after.percent(), mostRefused)
			require.Greater(t, f.after.inRate, 4000)
		})
	}
}

func BenchmarkWrongfulRefusals(b *testing.B) {
	limits := measuredLimits()
	for _, s := range append(scenarios(offered), scenarios(offeredMuch)...) {
		schemes := map[string]func() scheme{
			"slots":       slots,
			"staticSplit": func() scheme { return staticSplit(limits) },
			"oneHolder":   func() scheme { return oneHolder(limits) },
		}
		for name, start := range schemes {
			b.Run(fmt.Sprintf("%s/load=%g/%s", s.name, s.load, name), func(b *testing.B) {
				for b.Loop() {
					f := measure(s, start(), limits)
					b.ReportMetric(f.percent(), "refused%")
					b.ReportMetric(f.after.percent(), "refusedAfter5s%")
					b.ReportMetric(max(0, f.last.Seconds()), "lastRefusal-s")
					b.ReportMetric(float64(f.messages)/float64(f.inRate), "messages/request")
				}
			})
		}
	}
}
